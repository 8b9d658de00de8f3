package dev.hibiscusreach.systemtests.primaries

import dev.hibiscusreach.systemtests.stops.Cut
import dev.hibiscusreach.systemtests.stops.LineServerGroup
import dev.hibiscusreach.systemtests.stops.ProxyFleet
import dev.hibiscusreach.systemtests.stops.StopConfiguration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Replaces and crashes primaries in series while hosts are cut off from each other, the store and the promotions,
 * paused, killed and restarted.
 */
internal class PrimaryDisruptions(
    private val fleet: ProxyFleet,
    private val servers: LineServerGroup,
    private val configuration: StopConfiguration,
    private val random: Random,
) {
    private enum class HostEvent { RESET_CUT, SILENT_CUT, PAUSE, KILL, STOP }

    private val disturbed = ConcurrentHashMap.newKeySet<String>()
    private val running = ConcurrentLinkedQueue<Thread>()
    private val starts = ConcurrentHashMap<String, Int>()
    private val leaving = ConcurrentHashMap.newKeySet<String>()
    private val cutFromPromotions = ConcurrentHashMap.newKeySet<String>()
    private val events = AtomicInteger()

    /** Number of disturbances of hosts and primaries. */
    val count: Int get() = events.get()

    /** One line for each host that did not become ready again, and each disturbance that failed. */
    val findings = ConcurrentLinkedQueue<String>()

    /** Runs until [end] of [System.nanoTime], and then until all that was disturbed is undisturbed again. */
    fun run(end: Long) {
        val series =
            listOf(
                repeating(end, BETWEEN_CHANGES_OF_PRIMARY_MILLIS, ::replacePrimary),
                repeating(end, BETWEEN_HOST_EVENTS_MILLIS, ::disturbHost),
                repeating(end, BETWEEN_CONFIGURATIONS_MILLIS) { configure(it) },
                repeating(end, BETWEEN_PROMOTION_CUTS_MILLIS, ::cutPromotions),
            )
        series.forEach(Thread::join)
        running.forEach(Thread::join)
    }

    /** Writes the entries of all servers, whose roles may have changed. */
    @Synchronized
    fun registerServers() =
        servers.servers
            .filter { it.isRunning }
            .forEach { configuration.register(it, it.name in leaving, starts[it.name] ?: 1) }

    private fun repeating(end: Long, pauses: LongRange, action: (Random) -> Unit): Thread {
        val own = Random(random.nextLong())
        return checked {
            while (System.nanoTime() < end) {
                pause(pauses, own)
                action(own)
            }
        }
    }

    // A disturbance that fails would leave out a part of the run.
    private fun checked(action: () -> Unit): Thread {
        val created = thread(start = false) { action() }
        created.setUncaughtExceptionHandler { _, failure -> findings += "a disturbance failed: $failure" }
        return created.also(Thread::start)
    }

    private fun configure(random: Random) {
        configuration.change()
        fleet.nodes.filter { it !in disturbed }.randomOrNull(random)?.let { fleet.signal(it, "HUP") }
    }

    private fun replacePrimary(random: Random) {
        val primary = servers.servers.first { it.name == servers.log.leader }
        events.incrementAndGet()
        // A host is often cut off just as the primary is replaced.
        if (random.nextInt(CUT_BESIDE_CHANGE_EVERY) > 0) disturbHost(random, CUTS.random(random))
        if (random.nextBoolean()) release(primary, random) else crash(primary, random)
    }

    private fun release(primary: LineServerGroup.LineServer, random: Random) {
        pause(SHORT_MILLIS, random)
        leaving += primary.name
        registerServers()
        val limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(REPLACEMENT_SECONDS)
        while (servers.log.leader == primary.name && System.nanoTime() < limit) Thread.sleep(POLL_MILLIS)
        pause(RESTART_MILLIS, random)
        primary.crash()
        restart(primary)
    }

    private fun crash(primary: LineServerGroup.LineServer, random: Random) {
        primary.crash()
        pause(CRASH_MILLIS, random)
        restart(primary)
    }

    private fun restart(server: LineServerGroup.LineServer) {
        server.start()
        starts.merge(server.name, 2) { before, _ -> before + 1 }
        leaving -= server.name
        registerServers()
    }

    // Several hosts may be disturbed at the same time, but most are not.
    private fun disturbHost(random: Random, event: HostEvent = HostEvent.entries.random(random)) {
        if (disturbed.size >= maxOf(1, fleet.nodes.size / DISTURBED_DIVISOR)) return
        val node = fleet.nodes.filter { it !in disturbed }.random(random)
        val own = Random(random.nextLong())
        if (!disturbed.add(node)) return
        events.incrementAndGet()
        running += checked {
            disturb(node, event, own)
            disturbed -= node
        }
    }

    private fun disturb(node: String, event: HostEvent, random: Random) {
        when (event) {
            HostEvent.RESET_CUT -> cut(node, Cut.RESETS, random)
            HostEvent.SILENT_CUT -> cut(node, Cut.SILENT, random)
            HostEvent.PAUSE -> {
                fleet.signal(node, "STOP")
                pause(PAUSE_MILLIS, random)
                fleet.signal(node, "CONT")
            }
            HostEvent.KILL -> {
                fleet.kill(node)
                pause(SHORT_MILLIS, random)
                restart(node)
            }
            HostEvent.STOP -> {
                fleet.signal(node, "TERM")
                if (!fleet.awaitEnd(node, GRACE_SECONDS)) {
                    findings += "$node did not end within $GRACE_SECONDS s of SIGTERM"
                    fleet.kill(node)
                }
                restart(node)
            }
        }
    }

    private fun cut(node: String, how: Cut, random: Random) {
        val paths = checkNotNull(fleet.peerPaths) { "the hosts reach each other directly" }
        paths.cut(node, how)
        if (how == Cut.RESETS) fleet.pathToStore(node).reset() else fleet.pathToStore(node).hold()
        pause(CUT_MILLIS, random)
        fleet.pathToStore(node).release()
        paths.heal(node)
    }

    // The hosts may be disturbed otherwise as well, so that processes end while their requests are held up.
    private fun cutPromotions(random: Random) {
        val nodes = fleet.nodes.filter { it !in cutFromPromotions && random.nextInt(DISTURBED_DIVISOR) == 0 }
        events.incrementAndGet()
        nodes.forEach { node ->
            val own = Random(random.nextLong())
            cutFromPromotions += node
            running += checked {
                fleet.pathToPromotions(node).hold()
                pause(CUT_MILLIS, own)
                fleet.pathToPromotions(node).release()
                cutFromPromotions -= node
            }
        }
    }

    private fun restart(node: String) {
        fleet.start(node)
        val limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS)
        while (!fleet.isReady(node)) {
            if (System.nanoTime() > limit) {
                findings += "$node was not ready within $START_SECONDS s of its start"
                return
            }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun pause(millis: LongRange, random: Random) = Thread.sleep(random.nextLong(millis.first, millis.last))

    private companion object {
        /** Not all hosts may be disturbed at once: one in so many. */
        const val DISTURBED_DIVISOR = 3
        const val CUT_BESIDE_CHANGE_EVERY = 4
        const val GRACE_SECONDS = 6L
        const val START_SECONDS = 30L
        const val REPLACEMENT_SECONDS = 20L
        const val POLL_MILLIS = 50L
        val CUTS = listOf(HostEvent.RESET_CUT, HostEvent.RESET_CUT, HostEvent.SILENT_CUT)
        val SHORT_MILLIS = 50L..800L
        val RESTART_MILLIS = 1_000L..2_000L
        val CRASH_MILLIS = 500L..6_000L
        val PAUSE_MILLIS = 500L..4_500L
        val CUT_MILLIS = 2_000L..6_000L
        val BETWEEN_CHANGES_OF_PRIMARY_MILLIS = 1_000L..4_000L
        val BETWEEN_HOST_EVENTS_MILLIS = 1_500L..5_000L
        val BETWEEN_PROMOTION_CUTS_MILLIS = 2_000L..6_000L
        val BETWEEN_CONFIGURATIONS_MILLIS = 500L..4_000L
    }
}
