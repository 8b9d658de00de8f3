package dev.hibiscusreach.standins.slopes

import java.util.PriorityQueue

/** Simulated time in microseconds; actions due at the same time run in the order in which they were added. */
internal class SimulatedTime {
    private class Entry(val at: Long, val order: Long, val action: () -> Unit)

    private val entries = PriorityQueue(compareBy<Entry> { it.at }.thenBy { it.order })
    private var nextOrder = 0L

    /** The current time in microseconds. */
    var nowMicros: Long = 0
        private set

    /** The current time in milliseconds. */
    val nowMillis: Long get() = nowMicros / MICROS_PER_MILLI

    /** Runs [action] after [delayMicros]. */
    fun after(delayMicros: Long, action: () -> Unit) {
        entries += Entry(nowMicros + delayMicros, nextOrder++, action)
    }

    /** Runs [action] after [delayMillis]. */
    fun afterMillis(delayMillis: Long, action: () -> Unit) = after(delayMillis * MICROS_PER_MILLI, action)

    /** Runs everything due within the next [millis]. */
    fun advance(millis: Long) {
        val end = nowMicros + millis * MICROS_PER_MILLI
        while (entries.isNotEmpty() && entries.peek().at <= end) {
            val entry = entries.poll()
            nowMicros = entry.at
            entry.action()
        }
        nowMicros = end
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000L
    }
}
