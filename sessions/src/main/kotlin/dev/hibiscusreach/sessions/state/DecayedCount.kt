package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import kotlin.math.pow

/** A number of occurrences, each of which counts half after every half-life. */
data class DecayedCount(private val value: Double = 0.0, private val updatedAt: MonotonicTime = MonotonicTime(0)) {
    /** The count at [now]. */
    fun at(now: MonotonicTime, halfLife: Millis): Double =
        if (value == 0.0) value else value * HALF.pow((now - updatedAt).value / halfLife.value.toDouble())

    /** The count with one more occurrence at [now]. */
    fun plusOne(now: MonotonicTime, halfLife: Millis): DecayedCount = DecayedCount(at(now, halfLife) + 1, now)

    private companion object {
        const val HALF = 0.5
    }
}
