package dev.hibiscusreach.systemtests.primaries

import dev.hibiscusreach.systemtests.processes.awaitTrue
import dev.hibiscusreach.systemtests.stops.CallerStyle
import dev.hibiscusreach.systemtests.stops.CallerTarget
import dev.hibiscusreach.systemtests.stops.ConnectionOwners
import dev.hibiscusreach.systemtests.stops.LineServerGroup
import dev.hibiscusreach.systemtests.stops.ProxyFleet
import dev.hibiscusreach.systemtests.stops.StatementLedger
import dev.hibiscusreach.systemtests.stops.StopCaller
import dev.hibiscusreach.systemtests.stops.StopConfiguration
import dev.hibiscusreach.systemtests.stops.Workload
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.io.path.createDirectories
import kotlin.random.Random
import kotlin.system.exitProcess

/** What a run does. The seed decides the schedule of disturbances and what callers send. */
internal data class PrimarySoakOptions(
    val seed: Long,
    val processes: Int = 6,
    val domains: Int = 3,
    val seconds: Long = 40,
    /** With slow statements, writes outlast changes of primary. */
    val workload: Workload = if (seed % 2 == 0L) Workload.SHORT else Workload.SOME_SLOW,
    /** Class path of another build of the proxy; null for the one under test. */
    val classPath: String? = null,
)

/** The result of a run: how much was checked, and one line for each broken promise. */
internal data class PrimarySoakReport(
    val acknowledgements: Int,
    val reads: Int,
    val promotions: Int,
    val disturbances: Int,
    val findings: List<String>,
)

/**
 * A run of proxies as processes whose primary is replaced and crashes while hosts are cut off with resets or silently,
 * paused, killed and restarted. Callers use open connections until the process is gone.
 */
internal class PrimarySoak(private val options: PrimarySoakOptions, private val folder: Path) {
    private val random = Random(options.seed)
    private val check = AcknowledgementCheck()
    private val ledger = StatementLedger(check)

    // The servers look up the senders of their connections in the fleet, which needs the servers' promotions.
    private lateinit var fleet: ProxyFleet
    private lateinit var disruptions: PrimaryDisruptions

    /** Plays the run and checks what callers and servers have seen. */
    fun run(): PrimarySoakReport =
        ConnectionOwners { fleet.processNumbers }.use { owners ->
            LineServerGroup(options.workload, ledger, owners).use(::run)
        }

    private fun run(servers: LineServerGroup): PrimarySoakReport =
        PromotionStandIn(servers) { disruptions.registerServers() }.use { promotions ->
            check.log = servers.log
            fleet = fleet(promotions)
            fleet.use { play(servers, promotions) }
        }

    private fun fleet(promotions: PromotionStandIn) =
        ProxyFleet(
            folder = folder.createDirectories(),
            count = options.processes,
            classPath = options.classPath,
            domains = options.domains,
            promotions = promotions.endpoint,
            relaysPeers = true,
        )

    private fun play(servers: LineServerGroup, promotions: PromotionStandIn): PrimarySoakReport {
        val configuration = StopConfiguration(fleet.store, STATEMENT_TIMEOUT_MILLIS, servers.servers)
        disruptions = PrimaryDisruptions(fleet, servers, configuration, random)
        fleet.start()
        val ended = AtomicBoolean()
        val callers = callers().map { thread { it.run(ended::get) } }
        awaitTrue("a commit is acknowledged") { check.acknowledgements > 0 }
        disruptions.run(System.nanoTime() + TimeUnit.SECONDS.toNanos(options.seconds))
        val before = check.acknowledgements
        awaitTrue("commits are acknowledged after the disturbances", RECOVERY_SECONDS) {
            check.acknowledgements > before + RECOVERED_COMMITS
        }
        ended.set(true)
        callers.forEach(Thread::join)
        return PrimarySoakReport(
            acknowledgements = check.acknowledgements,
            reads = check.reads,
            promotions = promotions.count,
            disturbances = disruptions.count,
            findings = check.findings() + promotions.findings + disruptions.findings,
        )
    }

    private fun callers(): List<StopCaller> =
        fleet.nodes.flatMap { node ->
            STYLES.map { style ->
                val target = CallerTarget(node, fleet.callerPort(node), StopConfiguration.PRIMARY_DATABASE)
                StopCaller(target, style, ledger, Random(random.nextLong()))
            }
        }

    private companion object {
        /** Longer than the slow statements. */
        const val STATEMENT_TIMEOUT_MILLIS = 4_000L

        /** Longer than a change of primary that waits for the leases of hosts that it can't reach. */
        const val RECOVERY_SECONDS = 40
        const val RECOVERED_COMMITS = 20
        val STYLES = listOf(CallerStyle.SINGLE, CallerStyle.SINGLE, CallerStyle.THREE_TOGETHER, CallerStyle.TRANSACTION)
    }
}

/** Runs the seeds that `bin/soak-primaries` names; prints a line for each seed and each finding. */
fun main(arguments: Array<String>) {
    val (folder, first, last) = arguments
    val reports = (first.toLong()..last.toLong()).map { seed ->
        val defaults = PrimarySoakOptions(seed)
        val options =
            PrimarySoakOptions(
                seed = seed,
                processes = arguments.getOrNull(3)?.toInt() ?: defaults.processes,
                domains = arguments.getOrNull(4)?.toInt() ?: defaults.domains,
                seconds = arguments.getOrNull(5)?.toLong() ?: defaults.seconds,
                classPath = arguments.getOrNull(6),
            )
        val report = PrimarySoak(options, Path.of(folder, "seed-$seed")).run()
        println(
            "seed $seed: ${report.findings.size} findings, ${report.acknowledgements} commits, " +
                "${report.reads} reads, ${report.promotions} promotions, ${report.disturbances} disturbances",
        )
        report.findings.forEach { println("  $it") }
        report
    }
    println(
        "in all: ${reports.sumOf { it.findings.size }} findings of ${reports.sumOf { it.acknowledgements }} commits"
    )
    exitProcess(if (reports.any { it.findings.isNotEmpty() }) 1 else 0)
}
