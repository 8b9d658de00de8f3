package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Opens, hands over and closes the books of permit homes. */
internal object PermitBooks {
    /** Gives this home's book to its successor, and stops lending. */
    fun bookRequested(state: ProxyState, from: NodeIdentity, caller: CallerName, now: MonotonicTime): Step {
        val permits = state.pools.permits
        val book = permits.books[caller]
        val quietUntil = book?.quietUntil ?: quietAfterLoss(state, now)
        val delivery =
            PeerMessage.PermitLoansDelivered(
                caller = caller,
                loans = book?.openLoans(now).orEmpty(),
                quietMillis = maxOf(0, (quietUntil - now).value),
            )
        val without = permits.copy(books = permits.books.remove(caller))
        return Step(state.copy(pools = state.pools.copy(permits = without)))
            .withEffects(Effect.SendPeerMessage(from, delivery))
    }

    /** Goes on with the loans of an earlier home. */
    fun bookDelivered(state: ProxyState, message: PeerMessage.PermitLoansDelivered, now: MonotonicTime): Step {
        val book = state.pools.permits.books[message.caller] ?: return Step(state)
        val adopted = book.adopt(message.loans, Millis(message.quietMillis), now)
        return Step(withBook(state, message.caller, adopted))
            .then { PermitBorrowing.request(it, listOf(message.caller), now) }
    }

    /**
     * Opens the book of [caller] if there is none. A new home does not know what an earlier one has lent: it asks its
     * predecessor, or waits until all loans are over.
     */
    fun openBook(state: ProxyState, caller: CallerName, now: MonotonicTime): Step {
        if (caller in state.pools.permits.books) return Step(state)
        val predecessor = PermitHomes.predecessor(state, caller)
        val lifetime = state.settings.pool.permitLease + state.settings.pool.permitMargin
        val quietUntil = if (predecessor == null) quietAfterLoss(state, now) else now + lifetime
        val opened = Step(withBook(state, caller, PermitBook(quietUntil = quietUntil)))
        return if (predecessor == null) {
            opened
        } else {
            opened.withEffects(Effect.SendPeerMessage(predecessor, PeerMessage.PermitLoansRequested(caller)))
        }
    }

    private fun quietAfterLoss(state: ProxyState, now: MonotonicTime): MonotonicTime {
        val settings = state.settings.pool
        val lostAt = state.pools.permits.lossAt ?: return now
        return maxOf(now, lostAt + settings.permitLease + settings.permitMargin)
    }

    /** The state with [book] in its place. */
    fun withBook(state: ProxyState, caller: CallerName, book: PermitBook): ProxyState =
        state.copy(pools = state.pools.copy(permits = state.pools.permits.with(caller, book)))

    /** The state without the book of [caller]. */
    fun withoutBook(state: ProxyState, caller: CallerName): ProxyState {
        val permits = state.pools.permits
        return state.copy(pools = state.pools.copy(permits = permits.copy(books = permits.books.remove(caller))))
    }
}
