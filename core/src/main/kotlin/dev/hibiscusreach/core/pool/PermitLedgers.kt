package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Creates, transfers and removes the ledgers of permit homes. */
internal object PermitLedgers {
    /** Sends the loans of this home's ledger to its successor, and removes the ledger. */
    fun onLoansRequested(state: ProxyState, from: NodeIdentity, caller: CallerName, now: MonotonicTime): Step {
        val permits = state.pools.permits
        val ledger = permits.ledgers[caller]
        val lendingStartsAt = ledger?.lendingStartsAt ?: lendingStartAfterLoss(state, now)
        val delivery =
            PeerMessage.PermitLoansDelivered(
                caller = caller,
                loans = ledger?.activeLoans(now).orEmpty(),
                quietMillis = maxOf(0, (lendingStartsAt - now).value),
            )
        val updated = permits.copy(ledgers = permits.ledgers.remove(caller))
        return Step(state.copy(pools = state.pools.copy(permits = updated)))
            .withEffects(Effect.SendPeerMessage(from, delivery))
    }

    /** Adds the loans of an earlier home to this home's ledger. */
    fun onLoansDelivered(state: ProxyState, message: PeerMessage.PermitLoansDelivered, now: MonotonicTime): Step {
        val ledger = state.pools.permits.ledgers[message.caller] ?: return Step(state)
        val imported = ledger.importLoans(message.loans, Millis(message.quietMillis), now)
        return Step(withLedger(state, message.caller, imported))
            .then { PermitBorrowing.request(it, listOf(message.caller), now) }
    }

    /**
     * Creates the ledger of [caller] if there is none. A new home does not know what an earlier one has lent: it asks
     * its predecessor, or waits until all loans have expired.
     */
    fun openLedger(state: ProxyState, caller: CallerName, now: MonotonicTime): Step {
        if (caller in state.pools.permits.ledgers) return Step(state)
        val predecessor = PermitHomes.predecessor(state, caller)
        val lifetime = state.settings.pool.permitLease + state.settings.pool.permitMargin
        val lendingStartsAt = if (predecessor == null) lendingStartAfterLoss(state, now) else now + lifetime
        val opened = Step(withLedger(state, caller, PermitLedger(lendingStartsAt = lendingStartsAt)))
        return if (predecessor == null) {
            opened
        } else {
            opened.withEffects(Effect.SendPeerMessage(predecessor, PeerMessage.PermitLoansRequested(caller)))
        }
    }

    private fun lendingStartAfterLoss(state: ProxyState, now: MonotonicTime): MonotonicTime {
        val settings = state.settings.pool
        val lostAt = state.pools.permits.lastLenderLossAt ?: return now
        return maxOf(now, lostAt + settings.permitLease + settings.permitMargin)
    }

    /** The state with [ledger] as the ledger of [caller]. */
    fun withLedger(state: ProxyState, caller: CallerName, ledger: PermitLedger): ProxyState =
        state.copy(pools = state.pools.copy(permits = state.pools.permits.with(caller, ledger)))

    /** The state without the ledger of [caller]. */
    fun withoutLedger(state: ProxyState, caller: CallerName): ProxyState {
        val permits = state.pools.permits
        return state.copy(pools = state.pools.copy(permits = permits.copy(ledgers = permits.ledgers.remove(caller))))
    }
}
