package dev.hibiscusreach.systemtests.freshness

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/**
 * When hosts or the store were disturbed; times are of [System.nanoTime]. A host is in touch with the store if neither
 * was disturbed for [STABLE_MILLIS]. Disturbances of other hosts don't matter.
 */
internal class Disturbances {
    private class Disturbance(val node: String?, val what: String, val from: Long) {
        @Volatile
        var until = Long.MAX_VALUE
    }

    private val all = ConcurrentLinkedQueue<Disturbance>()

    val count: Int get() = all.size

    /** Disturbs the host [node], or the store if it is null, while [action] runs. */
    fun during(node: String?, what: String, action: () -> Unit) {
        val disturbance = Disturbance(node, what, System.nanoTime())
        all += disturbance
        action()
        disturbance.until = System.nanoTime()
    }

    /** Whether [node] was in touch at [time]. */
    fun isInTouch(node: String, time: Long): Boolean {
        val stableSince = time - TimeUnit.MILLISECONDS.toNanos(STABLE_MILLIS)
        return all.none { (it.node == null || it.node == node) && it.from <= time && it.until >= stableSince }
    }

    /** The disturbances in the seconds before [time], of all hosts. */
    fun describe(time: Long): String =
        all
            .filter { it.from <= time && time - it.until < TimeUnit.SECONDS.toNanos(DESCRIBED_SECONDS) }
            .joinToString { "${it.what} of ${it.node ?: "the store"} ${millis(time - it.from)} ms before" }

    private fun millis(nanos: Long) = TimeUnit.NANOSECONDS.toMillis(nanos)

    private companion object {
        /** Time without a disturbance after which the bounds hold again. */
        const val STABLE_MILLIS = 4_000L
        const val DESCRIBED_SECONDS = 12L
    }
}
