package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** The borrower's side of permits: asks the permit home for what this process's connections need. */
internal object PermitBorrowing {
    /** Asks for more permits of those [callers] that wait for some. */
    fun request(state: ProxyState, callers: List<CallerName>, now: MonotonicTime): Step =
        callers.fold(Step(state)) { step, caller -> step.then { requestIfShort(it, caller, now) } }

    /** Renews leases that are in use and forgets those that are not. */
    fun maintain(state: ProxyState, now: MonotonicTime): Step =
        state.pools.permits.accounts.keys.fold(Step(state)) { step, caller ->
            step.then { maintainAccount(it, caller, now) }
        }

    /** Takes a grant over if it answers the latest request. */
    fun granted(state: ProxyState, message: PeerMessage.PermitsGranted, now: MonotonicTime): Step {
        val account = state.pools.permits.accounts[message.caller]
        val pending = account?.pending?.takeIf { it.sequence == message.sequence }
        if (account == null || pending == null) return Step(state)
        val updated = account.granted(pending, message.count, Millis(message.leaseMillis))
        return Step(withAccount(state, message.caller, updated))
            .then { ConnectionDispatch.dispatchCaller(it, message.caller, now) }
    }

    private fun requestIfShort(state: ProxyState, caller: CallerName, now: MonotonicTime): Step {
        val account = state.pools.permits.accounts[caller] ?: PermitAccount()
        val needed = account.inUse + waiting(state, caller)
        val isDue = account.shouldAsk(needed, now, state.settings.pool.permitRetry)
        return if (isDue) ask(state, caller, needed, now) else Step(state)
    }

    private fun maintainAccount(state: ProxyState, caller: CallerName, now: MonotonicTime): Step {
        val account = state.pools.permits.accounts.getValue(caller)
        val needed = maxOf(account.peak, account.inUse + waiting(state, caller))
        val isRenewal = needed > 0 && account.isRenewalDue(now, state.settings.pool.permitRetry)
        return when {
            isRenewal -> ask(state, caller, needed, now)
            account.isUnused(now) && waiting(state, caller) == 0 -> forget(state, caller)
            else -> requestIfShort(state, caller, now)
        }
    }

    private fun ask(state: ProxyState, caller: CallerName, count: Int, now: MonotonicTime): Step {
        val account = state.pools.permits.accounts[caller] ?: PermitAccount()
        val request = PendingPermits(state.pools.permits.nextSequence, count, now)
        val permits =
            state.pools.permits
                .with(caller, account.asking(request))
                .copy(nextSequence = request.sequence + 1)
        val asked = state.copy(pools = state.pools.copy(permits = permits))
        val message = PeerMessage.PermitsRequested(request.sequence, caller, count)
        val home = PermitHomes.home(asked, caller, state.settings.failureDomain)
        return when (home) {
            null -> Step(asked)
            state.settings.self -> PermitLending.lendLocally(asked, message, now)
            else -> Step(asked).withEffects(Effect.SendPeerMessage(home, message))
        }
    }

    private fun waiting(state: ProxyState, caller: CallerName): Int =
        state.pools.pools.values.sumOf { it.queue.count(caller) }

    private fun forget(state: ProxyState, caller: CallerName): Step {
        val permits = state.pools.permits
        return Step(
            state.copy(pools = state.pools.copy(permits = permits.copy(accounts = permits.accounts.remove(caller))))
        )
    }

    private fun withAccount(state: ProxyState, caller: CallerName, account: PermitAccount): ProxyState =
        state.copy(pools = state.pools.copy(permits = state.pools.permits.with(caller, account)))
}
