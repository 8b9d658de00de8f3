package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Acquires the connection share of a database from earlier homes. */
internal object ShareAcquisition {
    /** Starts to acquire the share of [database], and asks the other processes of the domain what they hold. */
    fun begin(state: ProxyState, database: DatabaseName, now: MonotonicTime): Step {
        val role = ShareRole.Acquiring(takesOverAt = now + state.settings.pool.takeoverDelay, requestedAt = now)
        return ShareAllowances
            .withRole(state, database, role)
            .then { Step(it, requests(it, database, domainPeers(it))) }
    }

    /** Records the connections that an earlier home still holds. */
    fun onSharesRemaining(
        state: ProxyState,
        from: NodeIdentity,
        message: PeerMessage.SharesRemaining,
        now: MonotonicTime,
    ): Step {
        val role = state.pools.roles[message.database] as? ShareRole.Acquiring ?: return Step(state)
        val updated = role.copy(holdings = role.holdings.put(from, message.connections))
        return advanceRole(state, message.database, updated, now)
    }

    /** Repeats unanswered requests, and advances each share whose wait for other processes is over. */
    fun advance(state: ProxyState, now: MonotonicTime): Step =
        state.pools.roles.entries.fold(Step(state)) { step, (database, role) ->
            if (role is ShareRole.Acquiring) step.then { advanceRole(it, database, role, now) } else step
        }

    private fun advanceRole(
        state: ProxyState,
        database: DatabaseName,
        role: ShareRole.Acquiring,
        now: MonotonicTime,
    ): Step {
        val unanswered = domainPeers(state).filterNot { it in role.holdings }
        val held = role.holdings.filterKeys(state.membership::isLive).values.sumOf { it.values.sum() }
        val isOpeningAllowed = isOpeningAllowed(state, role, unanswered, now)
        val isRetryDue = unanswered.isNotEmpty() && now - role.requestedAt >= state.settings.pool.openRetry
        val next =
            when {
                isOpeningAllowed && held == 0 -> ShareRole.Held
                isRetryDue -> role.copy(isOpeningAllowed = isOpeningAllowed, requestedAt = now)
                else -> role.copy(isOpeningAllowed = isOpeningAllowed)
            }
        return ShareAllowances
            .withRole(state, database, next)
            .then { Step(it, if (isRetryDue) requests(it, database, unanswered) else emptyList()) }
            .then { ConnectionDispatch.dispatchDatabase(it, database, now) }
    }

    // A process that knows no peer of its domain may not have discovered them yet, and a lost peer may only be paused.
    // In both cases the takeover delay has to pass first.
    private fun isOpeningAllowed(
        state: ProxyState,
        role: ShareRole.Acquiring,
        unanswered: List<NodeIdentity>,
        now: MonotonicTime,
    ): Boolean {
        val lostAt = state.pools.lastHomeLossAt
        val hasRecentLoss = lostAt != null && now - lostAt < state.settings.pool.takeoverDelay
        val allAnswered = unanswered.isEmpty() && role.holdings.isNotEmpty()
        return now >= role.takesOverAt || allAnswered && !hasRecentLoss
    }

    private fun domainPeers(state: ProxyState): List<NodeIdentity> =
        state.membership
            .livePeers()
            .filter { it.failureDomain == state.settings.failureDomain }
            .map { it.node }

    private fun requests(state: ProxyState, database: DatabaseName, peers: List<NodeIdentity>): List<Effect> =
        peers
            .filter { state.membership.isLive(it) }
            .map { Effect.SendPeerMessage(it, PeerMessage.SharesRequested(database)) }
}
