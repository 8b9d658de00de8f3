package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.model.DatabaseName
import kotlin.random.Random

/** Failures that a test injects. */
enum class Fault {
    KILL_PRIMARY,
    ISOLATE_PRIMARY,
    KILL_PROXY,
    DRAIN_PROXY,
    PAUSE_PROXY,
    ONE_WAY_CUT,
    REPLICA_LAG,
    SILENT_CONNECTIONS,
    PLATFORM_OUTAGE,
    PLATFORM_LOST_ANSWERS,
    SLOW_SERVER,
}

/** Injects faults at random times and ends each one after a while. */
class Faults(private val fleet: Fleet, private val database: DatabaseName, private val kinds: List<Fault>) {
    private val random = Random(fleet.random.nextLong())
    private val schedule = fleet.schedule
    private var isStopped = false

    /** Whether there are faults to inject. */
    val isEnabled: Boolean get() = kinds.isNotEmpty()

    /** What was injected, for the message of a failed test. */
    val log = mutableListOf<String>()

    /** Injects a fault every one to three seconds. */
    fun start() {
        schedule.afterMillis(random.nextLong(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS)) {
            if (!isStopped) {
                inject(kinds[random.nextInt(kinds.size)])
                start()
            }
        }
    }

    /** Ends all faults and injects no more. */
    fun stop() {
        isStopped = true
        fleet.network.heal()
        fleet.platform.model.outage = false
        fleet.platform.model.answersToLose = 0
        fleet.servers.values.forEach { server ->
            server.restart()
            server.replicationLagMillis = 0
            server.slownessMillis = 0
        }
        fleet.proxies.values.filter { it.isPaused }.forEach { it.resume() }
    }

    /** Injects [fault] now. */
    fun inject(fault: Fault) {
        val duration = random.nextLong(SHORTEST_FAULT_MILLIS, LONGEST_FAULT_MILLIS)
        log += "${schedule.nowMillis} $fault for $duration ms"
        when (fault) {
            Fault.KILL_PRIMARY -> killServer(primary() ?: randomServer(), duration)
            Fault.ISOLATE_PRIMARY -> isolate(primary() ?: randomServer(), duration)
            Fault.KILL_PROXY, Fault.DRAIN_PROXY, Fault.PAUSE_PROXY -> randomProxy()?.let {
                disturb(
                    it,
                    fault,
                    duration
                )
            }
            Fault.ONE_WAY_CUT -> cutOneWay(duration)
            Fault.REPLICA_LAG -> until(duration, randomServer(), { replicationLagMillis = 800 }) {
                replicationLagMillis = 0
            }
            Fault.SLOW_SERVER -> until(duration, randomServer(), { slownessMillis = 300 }) { slownessMillis = 0 }
            Fault.SILENT_CONNECTIONS -> silence(randomServer())
            Fault.PLATFORM_OUTAGE -> stopPlatform(duration)
            Fault.PLATFORM_LOST_ANSWERS -> fleet.platform.model.answersToLose = LOST_ANSWERS
        }
    }

    /** The server that is primary by the highest term. */
    fun primary(): FakeServer? =
        fleet
            .running()
            .mapNotNull { proxy ->
                proxy.state.groups.primary(
                    database
                )?.let { proxy.state.groups.term(database) to it }
            }
            .maxByOrNull { it.first }
            ?.let { fleet.servers.getValue(it.second) }

    private fun until(duration: Long, server: FakeServer, begin: FakeServer.() -> Unit, end: FakeServer.() -> Unit) {
        server.begin()
        schedule.afterMillis(duration) { server.end() }
    }

    private fun disturb(proxy: FakeProxy, fault: Fault, duration: Long) {
        when (fault) {
            Fault.DRAIN_PROXY -> drainProxy(proxy)
            Fault.PAUSE_PROXY -> pauseProxy(proxy, duration)
            else -> killProxy(proxy, duration)
        }
    }

    private fun killServer(server: FakeServer, duration: Long) {
        fleet.killServer(server)
        schedule.afterMillis(duration) { server.restart() }
    }

    private fun isolate(server: FakeServer, duration: Long) {
        fleet.network.isolate(server.server.failureDomain)
        schedule.afterMillis(duration) { fleet.network.heal() }
    }

    private fun cutOneWay(duration: Long) {
        val domains = fleet.deployment.domains.map { it.name }.shuffled(random)
        fleet.network.cut(domains[0], domains[1])
        schedule.afterMillis(duration) { fleet.network.heal() }
    }

    private fun stopPlatform(duration: Long) {
        fleet.platform.model.outage = true
        schedule.afterMillis(duration) { fleet.platform.model.outage = false }
    }

    private fun killProxy(proxy: FakeProxy, duration: Long) {
        fleet.killProxy(proxy)
        restartLater(proxy, duration)
    }

    private fun drainProxy(proxy: FakeProxy) {
        proxy.deliver(Event.DrainRequested)
        schedule.afterMillis(DRAIN_MILLIS) {
            fleet.killProxy(proxy)
            restartLater(proxy, delay = 0)
        }
    }

    private fun restartLater(proxy: FakeProxy, delay: Long) {
        schedule.afterMillis(delay) {
            fleet.startProxy(proxy.settings.self.peerEndpoint, proxy.settings.failureDomain)
        }
    }

    private fun pauseProxy(proxy: FakeProxy, duration: Long) {
        proxy.pause()
        schedule.afterMillis(duration) { if (proxy.isPaused) proxy.resume() }
    }

    private fun silence(server: FakeServer) {
        fleet.proxies.values
            .flatMap { it.sessions.values }
            .filter { it.first == server }
            .forEach { server.silentSessions += it.second }
    }

    private fun randomServer(): FakeServer = fleet.servers.values.random(random)

    private fun randomProxy(): FakeProxy? =
        fleet.running().filter { !it.isPaused }.takeIf { it.size > fleet.proxies.size / 2 }?.random(random)

    private companion object {
        const val SHORTEST_PAUSE_MILLIS = 1_000L
        const val LONGEST_PAUSE_MILLIS = 3_000L
        const val SHORTEST_FAULT_MILLIS = 500L
        const val LONGEST_FAULT_MILLIS = 5_000L
        const val DRAIN_MILLIS = 13_000L
        const val LOST_ANSWERS = 3
    }
}
