package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** The lender's side of permits: the permit home's book, and the loans between the homes of failure domains. */
internal object PermitLending {
    /** Lends to this process itself. */
    fun lendLocally(state: ProxyState, request: PeerMessage.PermitsRequested, now: MonotonicTime): Step {
        val lent = lend(state, state.settings.self, request, now)
        return lent.step.then { PermitBorrowing.granted(it, lent.grant, now) }
    }

    /** Lends to a process of this failure domain, or to the permit home of another one. */
    fun requested(
        state: ProxyState,
        from: NodeIdentity,
        request: PeerMessage.PermitsRequested,
        now: MonotonicTime,
    ): Step {
        val lent = lend(state, from, request, now)
        return lent.step.withEffects(Effect.SendPeerMessage(from, lent.grant))
    }

    /** Renews what was borrowed from other domains and forgets books that are not used. */
    fun maintain(state: ProxyState, now: MonotonicTime): Step =
        state.pools.permits.books.entries.fold(Step(state)) { step, (caller, book) ->
            val pruned = book.pruned(now)
            val isUnused = pruned.loans.isEmpty() && pruned.borrowedNow(now) == 0 && now >= pruned.quietUntil
            step
                .then {
                    Step(
                        if (isUnused) PermitBooks.withoutBook(it, caller) else PermitBooks.withBook(it, caller, pruned)
                    )
                }
                .then { DomainBorrowing.renewBorrowed(it, caller, now) }
        }

    private data class Lent(val step: Step, val grant: PeerMessage.PermitsGranted)

    private fun lend(
        state: ProxyState,
        borrower: NodeIdentity,
        request: PeerMessage.PermitsRequested,
        now: MonotonicTime,
    ): Lent {
        val ownDomain = state.settings.failureDomain
        val isHome = PermitHomes.home(state, request.caller, ownDomain) == state.settings.self
        if (!isHome) return Lent(Step(state), grant(request, count = 0, lease = Millis(0)))
        val opened = PermitBooks.openBook(state, request.caller, now)
        val book = opened.state.pools.permits.books.getValue(request.caller)
        val isLocal = state.membership.domainOf(borrower) == ownDomain
        val share = if (now >= book.quietUntil) PermitHomes.share(state, request.caller) else 0
        val capacity = if (isLocal) share + book.borrowedNow(now) else share
        val settings = state.settings.pool
        val usesBorrowed = book.lentToOthers(borrower, now) + request.count > share
        val borrowedFor = book.borrowedUntil(now)?.takeIf { usesBorrowed }?.let { it - now }
        val lease = minOf(settings.permitLease, borrowedFor ?: settings.permitLease)
        val pending = PendingPermits(request.sequence, request.count, now)
        val (updated, count) = book.lend(borrower, pending, capacity, lease + settings.permitMargin)
        val step = opened.then { Step(PermitBooks.withBook(it, request.caller, updated)) }
        val missing = request.count - count
        val borrowing = if (isLocal && missing > 0) {
            step.then {
                DomainBorrowing.borrow(
                    it,
                    request.caller,
                    missing,
                    now
                )
            }
        } else {
            step
        }
        return Lent(borrowing, grant(request, count, lease))
    }

    private fun grant(request: PeerMessage.PermitsRequested, count: Int, lease: Millis) =
        PeerMessage.PermitsGranted(request.sequence, request.caller, count, lease.value)
}
