package dev.hibiscusreach.sessions.allowance

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.tenant.TenantName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** The state of allowances in a proxy, as an owner and on behalf of its own callers. */
data class AllowanceState(
    /** Null before the first read of the fleet records. */
    val ownership: FleetOwnership? = null,
    /** The buckets of tenants for which this proxy has granted as an owner. */
    val buckets: PersistentMap<TenantName, OwnedBucket> = persistentMapOf(),
    /** The tokens of tenants whose callers lately needed some. */
    val tenants: PersistentMap<TenantName, TenantTokens> = persistentMapOf(),
    /** Tenants with statements that wait for a token. */
    val waiting: PersistentSet<TenantName> = persistentSetOf(),
    val nextRequest: Long = 1,
    /** Owners that did not answer the latest request, of any tenant, in time. */
    val silent: PersistentSet<Endpoint> = persistentSetOf(),
)

/** The bucket of an owner, which may have granted without interruption since [since]. */
data class OwnedBucket(val bucket: TokenBucket, val since: MonotonicTime)

/** What an owner answers to a request for tokens. */
data class OwnerAnswer(
    val state: AllowanceState,
    /** The tokens that were taken; null if this proxy may not grant. */
    val taken: TakenTokens?,
)

/** Decisions of a proxy as an owner of allowances. */
object AllowanceOwner {
    /**
     * Grants up to [count] tokens of [tenant] if this proxy is an owner that may. [limitsOf] gives the limits of each
     * of a number of owners.
     */
    fun grant(
        state: AllowanceState,
        tenant: TenantName,
        count: Int,
        now: MonotonicTime,
        limitsOf: (Int) -> AllowanceLimits,
    ): OwnerAnswer {
        val ownership = state.ownership?.at(now)
        val since = ownership?.takeIf { it.mayGrant(tenant, now) }?.uninterruptedSince(now)
        if (ownership == null || since == null) {
            return OwnerAnswer(state.copy(ownership = ownership, buckets = state.buckets.remove(tenant)), null)
        }
        val limits = limitsOf(ownership.granting.parts)
        val known = state.buckets[tenant]?.takeIf { it.since >= since }
        val owned = known ?: OwnedBucket(newBucket(ownership, since, limits, now), maxOf(since, now))
        val taken = owned.bucket.take(count, now, limits)
        val buckets = state.buckets.put(tenant, owned.copy(bucket = taken.bucket))
        return OwnerAnswer(state.copy(ownership = ownership, buckets = buckets), taken)
    }

    /** Without the buckets of tenants of which this proxy is no owner at [now]. */
    fun review(state: AllowanceState, now: MonotonicTime): AllowanceState {
        val ownership = state.ownership?.at(now)
        val lost = state.buckets.keys.filter { ownership?.mayGrant(it, now) != true }
        val kept = lost.fold(state.buckets) { buckets, tenant -> buckets.remove(tenant) }
        val unchanged = lost.isEmpty() && ownership === state.ownership
        return if (unchanged) state else state.copy(ownership = ownership, buckets = kept)
    }

    // The bucket is empty when the proxy becomes an owner. It is created when it is first needed.
    private fun newBucket(
        ownership: FleetOwnership,
        since: MonotonicTime,
        limits: AllowanceLimits,
        now: MonotonicTime,
    ): TokenBucket {
        val ownerSince = maxOf(since, ownership.grantingSince ?: now)
        return TokenBucket(level = 0.0, ownerSince).at(now, limits)
    }
}
