package dev.hibiscusreach.systemtests.freshness

import dev.hibiscusreach.systemtests.processes.LoopbackRelay
import dev.hibiscusreach.systemtests.stops.ProxyFleet
import dev.hibiscusreach.systemtests.stops.StopConfiguration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/** Changes the configuration in series while the store, the paths to it and the hosts are disturbed. */
internal class FreshnessDisruptions(
    private val fleet: ProxyFleet,
    private val configuration: StopConfiguration,
    private val disturbances: Disturbances,
    private val random: Random,
) {
    private enum class StoreEvent { HISTORY_FORGOTTEN, SILENCE, CONNECTIONS_LOST }

    private enum class HostEvent { CUT, PAUSE, KILL, STOP }

    private val versions = AtomicInteger()
    private val disturbed = ConcurrentHashMap.newKeySet<String>()
    private val running = mutableListOf<Thread>()

    // A change needs the store, so it waits while the store is silent.
    private val storeAnswers = Any()

    /** Runs until [end] of [System.nanoTime] and returns the number of versions that were written. */
    fun run(end: Long): Int {
        val series =
            listOf(
                repeating(end, BETWEEN_STORE_EVENTS_MILLIS, ::disturbStore),
                repeating(end, BETWEEN_HOST_EVENTS_MILLIS, ::disturbHost),
                repeating(end, BETWEEN_CHANGES_MILLIS) { changeAndReload(it) },
            )
        series.forEach(Thread::join)
        running.forEach(Thread::join)
        return versions.get()
    }

    private fun repeating(end: Long, pauses: LongRange, action: (Random) -> Unit): Thread {
        val own = Random(random.nextLong())
        return thread {
            while (System.nanoTime() < end) {
                pause(pauses, own)
                action(own)
            }
        }
    }

    private fun change() {
        synchronized(storeAnswers) { configuration.change() }
        versions.incrementAndGet()
    }

    private fun changeAndReload(random: Random) {
        change()
        fleet.nodes.filter { it !in disturbed }.randomOrNull(random)?.let { fleet.signal(it, "HUP") }
    }

    private fun disturbStore(random: Random) =
        when (StoreEvent.entries.random(random)) {
            StoreEvent.HISTORY_FORGOTTEN -> forgetHistory(random)
            StoreEvent.SILENCE -> silence(random)
            StoreEvent.CONNECTIONS_LOST -> {
                change()
                disturbances.during(null, "loss of all connections") { relays().forEach { it.loseOpenConnections() } }
                pause(SHORT_MILLIS, random)
                change()
            }
        }

    private fun forgetHistory(random: Random) =
        disturbances.during(null, "loss of history") {
            fleet.store.muteWatches()
            pause(SHORT_MILLIS, random)
            change()
            pause(SHORT_MILLIS, random)
            fleet.store.forgetHistory()
            relays().forEach { it.loseOpenConnections() }
        }

    private fun silence(random: Random) {
        synchronized(storeAnswers) {
            disturbances.during(null, "silence") {
                relays().forEach { it.hold() }
                pause(SILENCE_MILLIS, random)
                relays().forEach { it.release() }
            }
        }
        pause(SHORT_MILLIS, random)
        change()
    }

    private fun relays(): List<LoopbackRelay> = fleet.nodes.map(fleet::pathToStore)

    // Several hosts may be disturbed at the same time, but most are in touch.
    private fun disturbHost(random: Random) {
        if (disturbed.size >= fleet.nodes.size / DISTURBED_DIVISOR) return
        val node = fleet.nodes.filter { it !in disturbed }.random(random)
        val event = HostEvent.entries.random(random)
        val own = Random(random.nextLong())
        disturbed += node
        running += thread {
            disturbances.during(node, event.name.lowercase()) { disturb(node, event, own) }
            disturbed -= node
        }
    }

    private fun disturb(node: String, event: HostEvent, random: Random) {
        when (event) {
            HostEvent.CUT -> {
                fleet.pathToStore(node).hold()
                pause(CUT_MILLIS, random)
                fleet.pathToStore(node).release()
            }
            HostEvent.PAUSE -> {
                fleet.signal(node, "STOP")
                pause(SILENCE_MILLIS, random)
                fleet.signal(node, "CONT")
            }
            HostEvent.KILL -> {
                fleet.kill(node)
                restart(node)
            }
            HostEvent.STOP -> {
                fleet.signal(node, "TERM")
                if (!fleet.awaitEnd(node, GRACE_SECONDS)) fleet.kill(node)
                restart(node)
            }
        }
    }

    private fun restart(node: String) {
        fleet.start(node)
        val limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS)
        while (!fleet.isReady(node) && System.nanoTime() < limit) Thread.sleep(POLL_MILLIS)
    }

    private fun pause(millis: LongRange, random: Random) = Thread.sleep(random.nextLong(millis.first, millis.last))

    private companion object {
        /** Not all hosts may be disturbed at once: one in so many. */
        const val DISTURBED_DIVISOR = 3
        const val GRACE_SECONDS = 6L
        const val START_SECONDS = 30L
        const val POLL_MILLIS = 100L
        val SHORT_MILLIS = 100L..600L
        val SILENCE_MILLIS = 1_000L..4_500L
        val CUT_MILLIS = 2_000L..8_000L
        val BETWEEN_STORE_EVENTS_MILLIS = 7_000L..10_000L
        val BETWEEN_HOST_EVENTS_MILLIS = 1_000L..4_000L
        val BETWEEN_CHANGES_MILLIS = 300L..3_300L
    }
}
