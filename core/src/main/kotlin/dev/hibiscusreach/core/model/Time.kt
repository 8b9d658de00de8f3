package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** Milliseconds of this process's monotonic clock. Not comparable with times of another process. */
@Serializable
@JvmInline
value class MonotonicTime(val millis: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime): Int = millis.compareTo(other.millis)

    /** The time [duration] milliseconds later. */
    operator fun plus(duration: Millis): MonotonicTime = MonotonicTime(millis + duration.value)

    /** The time [duration] milliseconds earlier. */
    operator fun minus(duration: Millis): MonotonicTime = MonotonicTime(millis - duration.value)

    /** The duration between [other] and this time. */
    operator fun minus(other: MonotonicTime): Millis = Millis(millis - other.millis)
}

/** A duration in milliseconds. */
@Serializable
@JvmInline
value class Millis(val value: Long) : Comparable<Millis> {
    override fun compareTo(other: Millis): Int = value.compareTo(other.value)

    /** The sum of two durations. */
    operator fun plus(other: Millis): Millis = Millis(value + other.value)

    /** The difference of two durations. */
    operator fun minus(other: Millis): Millis = Millis(value - other.value)

    /** The duration multiplied by [factor]. */
    operator fun times(factor: Int): Millis = Millis(value * factor)

    override fun toString(): String = "${value}ms"
}

/** A duration of this many milliseconds. */
val Int.milliseconds: Millis get() = Millis(toLong())

/** A duration of this many seconds. */
val Int.seconds: Millis get() = Millis(this * MILLIS_PER_SECOND)

private const val MILLIS_PER_SECOND = 1_000L
