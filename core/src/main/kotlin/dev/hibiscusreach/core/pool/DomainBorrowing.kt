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

/** Loans between the permit homes of failure domains. */
internal object DomainBorrowing {
    /** Takes a loan of another failure domain over into this home's book. */
    fun granted(state: ProxyState, from: NodeIdentity, message: PeerMessage.PermitsGranted, now: MonotonicTime): Step {
        val book = state.pools.permits.books[message.caller]
        val domain = state.membership.domainOf(from)
        val account = domain?.let { book?.borrowed?.get(it) }
        val pending = account?.pending?.takeIf { it.sequence == message.sequence }
        if (book == null || pending == null) return Step(state)
        val updated = account.granted(pending, message.count, Millis(message.leaseMillis))
        return Step(
            PermitBooks.withBook(state, message.caller, book.copy(borrowed = book.borrowed.put(domain, updated)))
        )
            .then { PermitBorrowing.request(it, listOf(message.caller), now) }
    }

    fun borrow(state: ProxyState, caller: CallerName, missing: Int, now: MonotonicTime): Step {
        val book = state.pools.permits.books.getValue(caller)
        val retry = state.settings.pool.permitRetry
        val domain =
            state.configuration.index.failureDomains
                .map { it.name }
                .filter { it != state.settings.failureDomain }
                .sortedBy { book.borrowed[it]?.lastAsked?.askedAt?.millis ?: Long.MIN_VALUE }
                .find { name ->
                    val account = book.borrowed[name] ?: PermitAccount()
                    account.shouldAsk(account.granted + missing, now, retry) &&
                        PermitHomes.home(state, caller, name) != null
                }
        val held = domain?.let { book.borrowed[it]?.granted } ?: 0
        return if (domain == null) Step(state) else askDomain(state, caller, domain, held + missing, now)
    }

    fun renewBorrowed(state: ProxyState, caller: CallerName, now: MonotonicTime): Step {
        val book = state.pools.permits.books[caller] ?: return Step(state)
        val lent = book.lentToOthers(borrower = null, now = now)
        val needed = lent - PermitHomes.share(state, caller)
        return book.borrowed.entries.fold(Step(state)) { step, (domain, account) ->
            val count = minOf(account.granted, maxOf(0, needed))
            val isDue = count > 0 && account.isRenewalDue(now, state.settings.pool.permitRetry)
            if (isDue) step.then { askDomain(it, caller, domain, count, now) } else step
        }
    }

    private fun askDomain(
        state: ProxyState,
        caller: CallerName,
        domain: FailureDomainName,
        count: Int,
        now: MonotonicTime,
    ): Step {
        val home = PermitHomes.home(state, caller, domain) ?: return Step(state)
        val permits = state.pools.permits
        val book = permits.books.getValue(caller)
        val request = PendingPermits(permits.nextSequence, count, now)
        val account = (book.borrowed[domain] ?: PermitAccount()).asking(request)
        val updated =
            permits
                .with(caller, book.copy(borrowed = book.borrowed.put(domain, account)))
                .copy(nextSequence = request.sequence + 1)
        return Step(state.copy(pools = state.pools.copy(permits = updated)))
            .withEffects(Effect.SendPeerMessage(home, PeerMessage.PermitsRequested(request.sequence, caller, count)))
    }
}
