package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Borrows permits from the permit homes of other failure domains. */
internal object CrossDomainBorrowing {
    /** Records permits granted by another failure domain's home, if the grant answers the latest request. */
    fun onPermitsGranted(
        state: ProxyState,
        from: NodeIdentity,
        message: PeerMessage.PermitsGranted,
        now: MonotonicTime,
    ): Step {
        val ledger = state.pools.permits.ledgers[message.caller]
        val domain = state.membership.domainOf(from)
        val lease = domain?.let { ledger?.borrowed?.get(it) }
        val pending = lease?.pending?.takeIf { it.sequence == message.sequence }
        if (ledger == null || pending == null) return Step(state)
        val updated = lease.withGrant(pending, message.count, Millis(message.leaseMillis))
        return Step(
            PermitLedgers.withLedger(
                state,
                message.caller,
                ledger.copy(borrowed = ledger.borrowed.put(domain, updated)),
            )
        )
            .then { PermitBorrowing.request(it, listOf(message.caller), now) }
    }

    /** Asks one other failure domain for [missing] more permits, the one asked least recently first. */
    fun borrow(state: ProxyState, caller: CallerName, missing: Int, now: MonotonicTime): Step {
        val ledger = state.pools.permits.ledgers.getValue(caller)
        val retry = state.settings.pool.permitRetry
        val domain =
            state.configuration.index.failureDomains
                .map { it.name }
                .filter { it != state.settings.failureDomain }
                .sortedBy { ledger.borrowed[it]?.lastRequest?.requestedAt?.millis ?: Long.MIN_VALUE }
                .find { name ->
                    val lease = ledger.borrowed[name] ?: PermitLease()
                    lease.shouldRequest(lease.granted + missing, now, retry) &&
                        PermitHomes.home(state, caller, name) != null
                }
        val held = domain?.let { ledger.borrowed[it]?.granted } ?: 0
        return if (domain == null) Step(state) else requestFromDomain(state, caller, domain, held + missing, now)
    }

    /** Renews borrowed permits as far as the loans of this home exceed its domain's own share. */
    fun renewBorrowed(state: ProxyState, caller: CallerName, now: MonotonicTime): Step {
        val ledger = state.pools.permits.ledgers[caller] ?: return Step(state)
        val lent = ledger.lentToOthers(borrower = null, now = now)
        val needed = lent - PermitHomes.share(state, caller)
        return ledger.borrowed.entries.fold(Step(state)) { step, (domain, lease) ->
            val count = minOf(lease.granted, maxOf(0, needed))
            val isDue = count > 0 && lease.isRenewalDue(now, state.settings.pool.permitRetry)
            if (isDue) step.then { requestFromDomain(it, caller, domain, count, now) } else step
        }
    }

    private fun requestFromDomain(
        state: ProxyState,
        caller: CallerName,
        domain: FailureDomainName,
        count: Int,
        now: MonotonicTime,
    ): Step {
        val home = PermitHomes.home(state, caller, domain) ?: return Step(state)
        val permits = state.pools.permits
        val ledger = permits.ledgers.getValue(caller)
        val request = PermitRequest(permits.nextSequence, count, now)
        val lease = (ledger.borrowed[domain] ?: PermitLease()).withRequest(request)
        val updated =
            permits
                .with(caller, ledger.copy(borrowed = ledger.borrowed.put(domain, lease)))
                .copy(nextSequence = request.sequence + 1)
        return Step(state.copy(pools = state.pools.copy(permits = updated)))
            .withEffects(Effect.SendPeerMessage(home, PeerMessage.PermitsRequested(request.sequence, caller, count)))
    }
}
