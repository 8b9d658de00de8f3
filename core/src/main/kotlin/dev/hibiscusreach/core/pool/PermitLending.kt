package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** The lender's side of permits: the permit home's ledger, and the loans between the homes of failure domains. */
internal object PermitLending {
    /** Lends permits to this process itself, without a message. */
    fun lendLocally(state: ProxyState, request: PeerMessage.PermitsRequested, now: MonotonicTime): Step {
        val lent = lend(state, state.settings.self, request, now)
        return lent.step.then { PermitBorrowing.onPermitsGranted(it, lent.grant, now) }
    }

    /** Lends permits to a process of this failure domain, or to the permit home of another one. */
    fun onPermitsRequested(
        state: ProxyState,
        from: NodeIdentity,
        request: PeerMessage.PermitsRequested,
        now: MonotonicTime,
    ): Step {
        val lent = lend(state, from, request, now)
        return lent.step.withEffects(Effect.SendPeerMessage(from, lent.grant))
    }

    /** Renews permits borrowed from other domains and removes unused ledgers. */
    fun maintain(state: ProxyState, now: MonotonicTime): Step =
        state.pools.permits.ledgers.entries.fold(Step(state)) { step, (caller, ledger) ->
            val pruned = ledger.withoutExpiredLoans(now)
            val isUnused = pruned.loans.isEmpty() && pruned.availableBorrowed(now) == 0 && now >= pruned.lendingStartsAt
            step
                .then {
                    Step(
                        if (isUnused) {
                            PermitLedgers.withoutLedger(it, caller)
                        } else {
                            PermitLedgers.withLedger(it, caller, pruned)
                        }
                    )
                }
                .then { CrossDomainBorrowing.renewBorrowed(it, caller, now) }
        }

    private data class LendResult(val step: Step, val grant: PeerMessage.PermitsGranted)

    private fun lend(
        state: ProxyState,
        borrower: NodeIdentity,
        request: PeerMessage.PermitsRequested,
        now: MonotonicTime,
    ): LendResult {
        val ownDomain = state.settings.failureDomain
        val isHome = PermitHomes.home(state, request.caller, ownDomain) == state.settings.self
        if (!isHome) return LendResult(Step(state), grant(request, count = 0, leaseDuration = Millis(0)))
        val opened = PermitLedgers.openLedger(state, request.caller, now)
        val ledger = opened.state.pools.permits.ledgers.getValue(request.caller)
        val isLocal = state.membership.domainOf(borrower) == ownDomain
        val share = if (now >= ledger.lendingStartsAt) PermitHomes.share(state, request.caller) else 0
        val capacity = if (isLocal) share + ledger.availableBorrowed(now) else share
        val settings = state.settings.pool
        val usesBorrowed = ledger.lentToOthers(borrower, now) + request.count > share
        val borrowedFor = ledger.borrowedUntil(now)?.takeIf { usesBorrowed }?.let { it - now }
        val leaseDuration = minOf(settings.permitLease, borrowedFor ?: settings.permitLease)
        val pending = PermitRequest(request.sequence, request.count, now)
        val (updated, count) = ledger.lend(borrower, pending, capacity, leaseDuration + settings.permitMargin)
        val step = opened.then { Step(PermitLedgers.withLedger(it, request.caller, updated)) }
        val missing = request.count - count
        val borrowing = if (isLocal && missing > 0) {
            step.then {
                CrossDomainBorrowing.borrow(
                    it,
                    request.caller,
                    missing,
                    now
                )
            }
        } else {
            step
        }
        return LendResult(borrowing, grant(request, count, leaseDuration))
    }

    private fun grant(request: PeerMessage.PermitsRequested, count: Int, leaseDuration: Millis) =
        PeerMessage.PermitsGranted(request.sequence, request.caller, count, leaseDuration.value)
}
