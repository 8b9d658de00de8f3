package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.standins.driver.DriveReport
import dev.hibiscusreach.standins.driver.DriveResult
import dev.hibiscusreach.standins.driver.DriveSettings
import dev.hibiscusreach.standins.driver.LoadDriver
import dev.hibiscusreach.standins.driver.ProxyTarget
import dev.hibiscusreach.standins.driver.ReadsByRole
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.io.File
import java.io.IOException
import java.util.concurrent.Callable

@Command(
    name = "drive",
    mixinStandardHelpOptions = true,
    description = ["Runs sessions against proxies, prints figures and checks that no sign-off is lost or doubled."],
)
internal class DriveCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    @Mixin
    private lateinit var load: LoadOptions

    @Option(
        names = ["--proxy"],
        required = true,
        paramLabel = "HOST:PORT=HOST:PORT",
        description = ["Caller endpoint and operations endpoint of a proxy; may be repeated."],
    )
    private lateinit var proxies: Map<Endpoint, Endpoint>

    @Option(names = ["--records"], description = ["File that gets one line for each attempt."])
    private var records: File? = null

    @Option(names = ["--forbid-broken"], description = ["Fail if an attempt got no complete answer."])
    private var forbidBroken: Boolean = false

    override fun call(): Int {
        val settings = load.settings(proxies.map { (callers, operations) -> ProxyTarget(callers, operations) })
        val before = proxies.values.associateWith(::readsByRole)
        val result = LoadDriver(settings).run()
        val report = DriveReport(result)
        val output = spec.commandLine().out
        report.lines().forEach(output::println)
        replicaShare(before)?.let { output.println("replica share: %.1f %%".format(it)) }
        records?.let { write(it, result) }
        return if (result.passed && !(forbidBroken && report.broken > 0)) 0 else 1
    }

    // A proxy that ended during the run takes its counters with it and is left out.
    private fun replicaShare(before: Map<Endpoint, ReadsByRole?>): Double? {
        val after = before.keys.associateWith(::readsByRole)
        val still = before.keys.filter { after[it] != null && before[it] != null }
        val start = ReadsByRole.sum(still.mapNotNull(before::get))
        return ReadsByRole.sum(still.mapNotNull(after::get)).replicaPercentSince(start)
    }

    private fun readsByRole(operations: Endpoint): ReadsByRole? =
        try {
            ReadsByRole.fetch(operations)
        } catch (_: IOException) {
            null
        }

    private fun write(file: File, result: DriveResult) =
        file.printWriter().use { writer ->
            writer.println("session,requestId,kind,dueNanos,invokedNanos,completedNanos,outcome,server,value")
            for (record in result.records) {
                val times = "${record.dueNanos},${record.invokedNanos},${record.completedNanos}"
                writer.println(
                    "${record.session},${record.requestId},${record.kind},$times,${record.outcome}," +
                        "${record.server.orEmpty()},${record.value.orEmpty()}"
                )
            }
        }
}

/** What the load of a run consists of. */
internal class LoadOptions {
    @Option(names = ["--database"], required = true)
    private lateinit var database: String

    @Option(names = ["--caller"], required = true)
    private lateinit var caller: String

    @Option(names = ["--sessions"], defaultValue = "8")
    private var sessions: Int = 0

    @Option(names = ["--duration-millis"], defaultValue = "5000")
    private var durationMillis: Long = 0

    @Option(names = ["--rate"], description = ["Operations a second; without it every session sends at once again."])
    private var rate: Int = 0

    @Option(names = ["--read-percent"], defaultValue = "70")
    private var readPercent: Int = 0

    @Option(names = ["--roam-percent"], defaultValue = "20", description = ["Requests that go to another proxy."])
    private var roamPercent: Int = 0

    @Option(names = ["--maximum-age-millis"], description = ["Age that reads accept."])
    private var maximumAgeMillis: Long? = null

    @Option(names = ["--deadline-millis"], defaultValue = "5000")
    private var deadlineMillis: Long = 0

    @Option(names = ["--retry-millis"], defaultValue = "15000", description = ["Time for which requests are repeated."])
    private var retryMillis: Long = 0

    fun settings(proxies: List<ProxyTarget>): DriveSettings =
        DriveSettings(
            proxies = proxies,
            database = database,
            caller = caller,
            sessions = sessions,
            durationMillis = durationMillis,
            ratePerSecond = rate,
            readPercent = readPercent,
            roamPercent = roamPercent,
            maximumAgeMillis = maximumAgeMillis,
            deadlineMillis = deadlineMillis,
            retryForMillis = retryMillis,
            run = "run-${System.currentTimeMillis()}",
        )
}
