package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** The borrower's side of permits: requests from the permit home what this process's connections need. */
internal object PermitBorrowing {
    /** Requests more permits for those [callers] whose needs exceed their lease. */
    fun request(state: ProxyState, callers: List<CallerName>, now: MonotonicTime): Step =
        callers.fold(Step(state)) { step, caller -> step.then { requestIfShort(it, caller, now) } }

    /** Renews leases that are in use and removes unused ones. */
    fun maintain(state: ProxyState, now: MonotonicTime): Step =
        state.pools.permits.leases.keys.fold(Step(state)) { step, caller ->
            step.then { maintainLease(it, caller, now) }
        }

    /** Applies a grant if it answers the latest request; ignores any other. */
    fun onPermitsGranted(state: ProxyState, message: PeerMessage.PermitsGranted, now: MonotonicTime): Step {
        val lease = state.pools.permits.leases[message.caller]
        val pending = lease?.pending?.takeIf { it.sequence == message.sequence }
        if (lease == null || pending == null) return Step(state)
        val updated = lease.withGrant(pending, message.count, Millis(message.leaseMillis))
        return Step(withLease(state, message.caller, updated))
            .then { ConnectionDispatch.dispatchCaller(it, message.caller, now) }
    }

    private fun requestIfShort(state: ProxyState, caller: CallerName, now: MonotonicTime): Step {
        val lease = state.pools.permits.leases[caller] ?: PermitLease()
        val needed = lease.inUse + waiting(state, caller)
        val isDue = lease.shouldRequest(needed, now, state.settings.pool.permitRetry)
        return if (isDue) sendRequest(state, caller, needed, now) else Step(state)
    }

    private fun maintainLease(state: ProxyState, caller: CallerName, now: MonotonicTime): Step {
        val lease = state.pools.permits.leases.getValue(caller)
        val needed = maxOf(lease.peak, lease.inUse + waiting(state, caller))
        val isRenewal = needed > 0 && lease.isRenewalDue(now, state.settings.pool.permitRetry)
        return when {
            isRenewal -> sendRequest(state, caller, needed, now)
            lease.isUnused(now) && waiting(state, caller) == 0 -> removeLease(state, caller)
            else -> requestIfShort(state, caller, now)
        }
    }

    private fun sendRequest(state: ProxyState, caller: CallerName, count: Int, now: MonotonicTime): Step {
        val lease = state.pools.permits.leases[caller] ?: PermitLease()
        val request = PermitRequest(state.pools.permits.nextSequence, count, now)
        val permits =
            state.pools.permits
                .with(caller, lease.withRequest(request))
                .copy(nextSequence = request.sequence + 1)
        val requested = state.copy(pools = state.pools.copy(permits = permits))
        val message = PeerMessage.PermitsRequested(request.sequence, caller, count)
        val home = PermitHomes.home(requested, caller, state.settings.failureDomain)
        return when (home) {
            null -> Step(requested)
            state.settings.self -> PermitLending.lendLocally(requested, message, now)
            else -> Step(requested).withEffects(Effect.SendPeerMessage(home, message))
        }
    }

    private fun waiting(state: ProxyState, caller: CallerName): Int =
        state.pools.pools.values.sumOf { it.queue.count(caller) }

    private fun removeLease(state: ProxyState, caller: CallerName): Step {
        val permits = state.pools.permits
        return Step(
            state.copy(pools = state.pools.copy(permits = permits.copy(leases = permits.leases.remove(caller))))
        )
    }

    private fun withLease(state: ProxyState, caller: CallerName, lease: PermitLease): ProxyState =
        state.copy(pools = state.pools.copy(permits = state.pools.permits.with(caller, lease)))
}
