package dev.hibiscusreach.sessions.allowance

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.state.TenantSettings
import kotlin.math.floor

/** Decisions of a proxy that needs tokens for its callers: whom to ask, for how many, and when there is no hope. */
class TokenRequests(
    private val settings: TenantSettings,
    /** The tenant's owners, the nearest first. */
    private val owners: List<Endpoint>,
    private val now: MonotonicTime,
    /** Owners that did not answer in time when they were last asked for any tenant. */
    private val silent: Set<Endpoint> = emptySet(),
) {
    /** The owner to ask next; null if none is left or the waiting operations have their tokens. */
    fun nextOwner(tokens: TenantTokens): Endpoint? =
        if (tokens.missing(now, settings.ownerPatience) <= 0) null else availableOwner(tokens)

    /**
     * The nearest owner that may be asked now; null if there is none. Owners that do not expect a token yet come after
     * the others. Owners that were silent or did not grant when they were last asked come last, as they may be on the
     * other side of a partition.
     */
    fun availableOwner(tokens: TenantTokens): Endpoint? =
        owners
            .filter { it !in tokens.requests && !isPaused(tokens, it) }
            .minByOrNull { tokens.reluctance(it, silent, now) }

    /** The number of tokens to ask for. Nothing is requested ahead while owners lack tokens. */
    fun count(tokens: TenantTokens): Int {
        val forecast = tokens.demand.at(now) * settings.tokenForecast.value / MILLIS_PER_SECOND
        val isShort = tokens.shortAt?.let { now - it < settings.ownerAvoidance } ?: false
        val ahead = if (isShort) 0 else floor(forecast).toInt()
        return maxOf(1, tokens.missing(now, settings.ownerPatience)) + ahead
    }

    /** The state after a request was sent to [owner]. */
    fun sent(tokens: TenantTokens, owner: Endpoint, request: OutstandingRequest): TenantTokens {
        val since = tokens.unreachedSince.takeIf { tokens.onMinimum || tokens.requests.isNotEmpty() } ?: now
        return tokens.copy(requests = tokens.requests.put(owner, request), unreachedSince = since)
    }

    /** The state after [owner] has answered with [grant], whose tokens expire at [expiresAt]. */
    fun answered(
        tokens: TenantTokens,
        owner: Endpoint,
        grant: AllowanceGrant,
        expiresAt: MonotonicTime,
    ): TenantTokens {
        val isShort = grant.retryAfter.value > 0
        val until = now + minOf(grant.retryAfter, settings.maxOwnerPause)
        val pause = OwnerPause(until, failed = false, tokenExpectedAt = now + grant.retryAfter)
        return tokens
            .withTokens(grant.count, expiresAt)
            .copy(
                requests = tokens.requests.remove(owner),
                pauses = if (isShort) tokens.pauses.put(owner, pause) else tokens.pauses.remove(owner),
                supply = tokens.supply.plus(grant.count, now),
                shortAt = if (isShort) now else tokens.shortAt,
                unreachedSince = null,
                onMinimum = false,
            )
    }

    /** The state after [owner] has failed or does not grant; it is asked again after [pause]. */
    fun failed(tokens: TenantTokens, owner: Endpoint, pause: Millis): TenantTokens =
        tokens.copy(
            requests = tokens.requests.remove(owner),
            pauses = tokens.pauses.put(owner, OwnerPause(now + pause, failed = true)),
            unreachedSince = tokens.unreachedSince ?: now,
        )

    /** The state without requests whose tokens would have expired; their owners are avoided for a while. */
    fun withoutOverdue(tokens: TenantTokens): TenantTokens =
        tokens.requests
            .filterValues { now - it.sentAt >= settings.tokenLife }
            .keys
            .fold(tokens) { remaining, owner -> failed(remaining, owner, settings.ownerAvoidance) }

    /** Whether no owner is reached, so that the guaranteed minimum applies. */
    fun isUnreached(tokens: TenantTokens): Boolean {
        val since = tokens.unreachedSince
        val hasAnswered = tokens.pauses.any { (owner, pause) -> !pause.failed && owner in owners && pause.until > now }
        val hasFailed = tokens.requests.isEmpty() && owners.all { isPaused(tokens, it) }
        val isLate = since != null && now - since >= settings.ownerTimeout
        return !hasAnswered && (hasFailed || isLate)
    }

    /**
     * The time at which the operation behind [ahead] others is expected to get a token; null if an answer that may
     * bring it is outstanding.
     */
    fun expectedAt(tokens: TenantTokens, ahead: Int): MonotonicTime? {
        val isAwaited = tokens.requests.values.any { now - it.sentAt < settings.ownerPatience }
        if (isAwaited) return null
        val rate = tokens.supply.at(now)
        val isExhausted = owners.all { isPaused(tokens, it) }
        val afterOthers = if (isExhausted && rate > 0) (ahead * MILLIS_PER_SECOND / rate).toLong() else 0L
        val nextAnswerAt = owners.minOfOrNull { maxOf(now, tokens.pauses[it]?.until ?: now) }
        return maxOf(nextAnswerAt ?: (now + settings.notGrantingPause), now + Millis(afterOthers))
    }

    private fun isPaused(tokens: TenantTokens, owner: Endpoint) = tokens.pauses[owner]?.let { it.until > now } ?: false

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
