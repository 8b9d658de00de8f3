package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Takes the share of a database over from earlier homes. */
internal object ShareAcquisition {
    /** Starts to take the share of [database] over, and asks the other processes of the domain what they hold. */
    fun begin(state: ProxyState, database: DatabaseName, now: MonotonicTime): Step {
        val role = ShareRole.Acquiring(until = now + state.settings.pool.takeoverDelay, askedAt = now)
        return ShareAllowances
            .withRole(state, database, role)
            .then { Step(it, requests(it, database, domainPeers(it))) }
    }

    /** Takes note of what an earlier home still holds. */
    fun remaining(
        state: ProxyState,
        from: NodeIdentity,
        message: PeerMessage.SharesRemaining,
        now: MonotonicTime,
    ): Step {
        val role = state.pools.roles[message.database] as? ShareRole.Acquiring ?: return Step(state)
        val noted = role.copy(remaining = role.remaining.put(from, message.connections))
        return advanceRole(state, message.database, noted, now)
    }

    /** Asks again those that have not answered, and goes on where nobody is left to wait for. */
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
        val silent = domainPeers(state).filterNot { it in role.remaining }
        val held = role.remaining.filterKeys(state.membership::isLive).values.sumOf { it.values.sum() }
        val isCleared = isCleared(state, role, silent, now)
        val asksAgain = silent.isNotEmpty() && now - role.askedAt >= state.settings.pool.openRetry
        val next =
            when {
                isCleared && held == 0 -> ShareRole.Held
                asksAgain -> role.copy(isCleared = isCleared, askedAt = now)
                else -> role.copy(isCleared = isCleared)
            }
        return ShareAllowances
            .withRole(state, database, next)
            .then { Step(it, if (asksAgain) requests(it, database, silent) else emptyList()) }
            .then { ConnectionDispatch.dispatchDatabase(it, database, now) }
    }

    // A process that knows no peer of its domain may not have found them yet, and a lost one may only be paused: both
    // wait for the takeover delay.
    private fun isCleared(
        state: ProxyState,
        role: ShareRole.Acquiring,
        silent: List<NodeIdentity>,
        now: MonotonicTime,
    ): Boolean {
        val lostAt = state.pools.homeLossAt
        val hasRecentLoss = lostAt != null && now - lostAt < state.settings.pool.takeoverDelay
        val allAnswered = silent.isEmpty() && role.remaining.isNotEmpty()
        return now >= role.until || allAnswered && !hasRecentLoss
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
