package dev.hibiscusreach.standins.platform

/** A token bucket that allows [perSecond] calls a second with bursts of one second's worth. */
internal class RateLimit(private val perSecond: Int) {
    private var tokens = perSecond.toDouble()
    private var refilledAt: Long? = null

    /** Whether a call at [now] is within the limit. */
    fun allows(now: Long): Boolean {
        val elapsed = now - (refilledAt ?: now)
        refilledAt = now
        tokens = minOf(perSecond.toDouble(), tokens + elapsed * perSecond / MILLIS_PER_SECOND)
        val allowed = tokens >= 1
        if (allowed) tokens--
        return allowed
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
