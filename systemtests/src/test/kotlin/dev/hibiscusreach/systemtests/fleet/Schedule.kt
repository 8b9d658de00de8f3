package dev.hibiscusreach.systemtests.fleet

import java.util.PriorityQueue

/** Simulated time in microseconds, and the actions that wait for it. Actions of one time run in the order of entry. */
class Schedule {
    private class Entry(val at: Long, val order: Long, val action: () -> Unit)

    private val entries = PriorityQueue(compareBy<Entry> { it.at }.thenBy { it.order })
    private var nextOrder = 0L

    /** The present time in microseconds. */
    var nowMicros: Long = 0
        private set

    /** The present time in milliseconds. */
    val nowMillis: Long get() = nowMicros / MICROS_PER_MILLI

    /** Runs [action] after [delayMicros]. */
    fun after(delayMicros: Long, action: () -> Unit) {
        entries += Entry(nowMicros + maxOf(0, delayMicros), nextOrder++, action)
    }

    /** Runs [action] after [delayMillis]. */
    fun afterMillis(delayMillis: Long, action: () -> Unit) = after(delayMillis * MICROS_PER_MILLI, action)

    /** Runs all actions up to [millis] from now. */
    fun advance(millis: Long) {
        val end = nowMicros + millis * MICROS_PER_MILLI
        while (entries.isNotEmpty() && entries.peek().at <= end) {
            val entry = entries.poll()
            nowMicros = entry.at
            entry.action()
        }
        nowMicros = end
    }

    companion object {
        const val MICROS_PER_MILLI = 1_000L
    }
}
