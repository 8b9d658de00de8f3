package dev.hibiscusreach.sessions.allowance

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.floor

/** The tokens that an owner may grant, as of [updatedAt]. */
data class TokenBucket(
    val level: Double,
    val updatedAt: MonotonicTime,
    /** Tokens that were requested lately and not granted; decays within about a second. */
    val unmet: Double = 0.0,
    /** The limits by which [level] was reached; null before any. */
    val limits: AllowanceLimits? = null,
) {
    /**
     * The bucket at [now]. A shrunk limit applies at once, and a raised one refills from now on: if the bucket grew for
     * the time before, buckets of which owners have fewer would gain what earlier owners have granted already. A clock
     * that steps back refills nothing.
     */
    fun at(now: MonotonicTime, limits: AllowanceLimits): TokenBucket {
        val elapsed = maxOf(0L, (now - updatedAt).value) / MILLIS_PER_SECOND
        val earlier = this.limits ?: limits
        val refill = minOf(limits.refillPerSecond, earlier.refillPerSecond)
        val refilled = minOf(limits.capacity, earlier.capacity, level + elapsed * refill)
        return TokenBucket(refilled, maxOf(now, updatedAt), unmet * exp(-elapsed / DECAY_SECONDS), limits)
    }

    /** Grants as many of [count] tokens as there are. */
    fun take(count: Int, now: MonotonicTime, limits: AllowanceLimits): TakenTokens {
        val current = at(now, limits)
        val granted = minOf(count, floor(current.level).toInt())
        val left = current.copy(level = current.level - granted, unmet = current.unmet + count - granted)
        // What others were refused lately is requested again, so the next token is expected after all of that.
        val missing = maxOf(0.0, 1 - left.level) + current.unmet
        val wait = if (limits.refillPerSecond > 0) missing / limits.refillPerSecond else MAXIMUM_WAIT_SECONDS
        val waitMillis = ceil(minOf(wait, MAXIMUM_WAIT_SECONDS) * MILLIS_PER_SECOND).toLong()
        return TakenTokens(left, granted, Millis(if (granted < count) waitMillis else 0))
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val DECAY_SECONDS = 1.0
        const val MAXIMUM_WAIT_SECONDS = 60.0
    }
}

/** Tokens that were taken from a bucket. */
data class TakenTokens(
    /** The bucket that is left. */
    val bucket: TokenBucket,
    val granted: Int,
    /** Time after which the next token is expected; zero if all tokens were granted. */
    val retryAfter: Millis,
)
