package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import kotlin.math.pow

/**
 * The smoothed latency of a server in milliseconds, and its lowest value of the current and the previous window. The
 * lowest value is taken of the smoothed latency, since statements of different kinds take different times.
 */
data class ObservedLatency(
    private val smoothed: Double,
    private val lowestOfWindow: Double,
    private val lowestBefore: Double,
    private val windowStartedAt: MonotonicTime,
    private val updatedAt: MonotonicTime,
) {
    /** The lowest smoothed latency seen lately, in milliseconds. */
    val lowest: Double get() = minOf(lowestOfWindow, lowestBefore)

    /**
     * The expected latency at [now] in milliseconds. What exceeds [floor], in milliseconds, halves in each [halfLife]
     * without another statement, so that a server that is avoided because of its latency is tried again.
     */
    fun at(now: MonotonicTime, halfLife: Millis, floor: Double): Double {
        val target = minOf(floor, smoothed)
        return target + (smoothed - target) * HALF.pow((now - updatedAt).value / halfLife.value.toDouble())
    }

    /** The latency that has decayed to [expected], in milliseconds, after another statement took [duration]. */
    fun plus(duration: Millis, expected: Double, now: MonotonicTime, window: Millis): ObservedLatency {
        val next = expected + (duration.value - expected) * WEIGHT
        return if (now - windowStartedAt >= window) {
            ObservedLatency(next, next, lowestOfWindow, now, now)
        } else {
            copy(smoothed = next, lowestOfWindow = minOf(lowestOfWindow, next), updatedAt = now)
        }
    }

    companion object {
        private const val HALF = 0.5

        /** Weight of a new duration; the same as in the smoothed latency of [ServerHealth]. */
        private const val WEIGHT = 0.125

        /** The latency after the first statement. */
        fun first(duration: Millis, now: MonotonicTime): ObservedLatency {
            val value = duration.value.toDouble()
            return ObservedLatency(value, value, value, now, now)
        }
    }
}
