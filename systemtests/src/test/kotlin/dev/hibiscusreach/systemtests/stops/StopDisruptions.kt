package dev.hibiscusreach.systemtests.stops

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/** Stops and starts proxies in series that overlap, and changes the configuration meanwhile. */
internal class StopDisruptions(
    private val fleet: ProxyFleet,
    private val configuration: StopConfiguration,
    private val log: StopLog,
    private val random: Random,
) {
    private val stopping = ConcurrentHashMap.newKeySet<String>()
    private val restarts = mutableListOf<Thread>()

    /** Runs series of stops until [end] of [System.nanoTime], then waits until all proxies serve again. */
    fun run(end: Long) {
        val changes = thread { changeConfiguration(end, Random(random.nextLong())) }
        while (System.nanoTime() < end) {
            repeat(maxOf(SMALLEST_SERIES, fleet.nodes.size / NODES_PER_STOP)) {
                running().randomOrNull(random)?.let(::stop)
                pause(BETWEEN_STOPS_MILLIS, random)
            }
            pause(BETWEEN_SERIES_MILLIS, random)
        }
        changes.join()
        restarts.forEach(Thread::join)
    }

    private fun running() = fleet.nodes.filter { it !in stopping && fleet.isAlive(it) && fleet.isReady(it) }

    private fun stop(node: String) {
        stopping += node
        log.requested(node)
        fleet.signal(node, "TERM")
        restarts += thread { restart(node) }
    }

    private fun restart(node: String) {
        if (!fleet.awaitEnd(node, GRACE_SECONDS)) {
            log.failed("$node did not end within $GRACE_SECONDS s of SIGTERM")
            fleet.kill(node)
        }
        fleet.start(node)
        if (!becomesReady(node)) log.failed("$node was not ready within $START_SECONDS s of its start")
        stopping -= node
    }

    private fun becomesReady(node: String): Boolean {
        val limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS)
        while (System.nanoTime() < limit) {
            if (fleet.isReady(node)) return true
            Thread.sleep(POLL_MILLIS)
        }
        return false
    }

    private fun changeConfiguration(end: Long, random: Random) {
        while (System.nanoTime() < end) {
            pause(BETWEEN_CHANGES_MILLIS, random)
            configuration.change()
            running().randomOrNull(random)?.let { fleet.signal(it, "HUP") }
        }
    }

    private fun pause(millis: LongRange, random: Random) = Thread.sleep(random.nextLong(millis.first, millis.last))

    private companion object {
        const val SMALLEST_SERIES = 2
        const val NODES_PER_STOP = 8
        const val GRACE_SECONDS = 6L
        const val START_SECONDS = 30L
        const val POLL_MILLIS = 100L
        val BETWEEN_STOPS_MILLIS = 200L..3_000L
        val BETWEEN_SERIES_MILLIS = 3_000L..7_000L
        val BETWEEN_CHANGES_MILLIS = 300L..3_300L
    }
}
