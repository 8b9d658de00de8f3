package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Detects idle connections that no longer work. */
internal object ConnectionHealthChecks {
    /** Handles the answer to an idle connection's check: the connection becomes idle again. */
    fun onCheckAnswered(state: ProxyState, number: ConnectionNumber, answer: SessionAnswer, now: MonotonicTime): Step {
        val connection = state.pools.connections[number]
        val use = connection?.use as? ConnectionUse.Checking ?: return Step(state)
        return ConnectionLifecycle.makeIdle(state, connection, now)
            .withSignals(Signal.ServerObserved(answer.status, sentAt = use.since))
    }

    /** Checks connections that have been idle for long, and closes those whose check or opening timed out. */
    fun maintain(state: ProxyState, now: MonotonicTime): Step =
        state.pools.connections.values.fold(Step(state)) { step, connection ->
            step.then { maintainConnection(it, connection, now) }
        }

    /** Checks all idle connections of [server] in the next period; they may have failed with the one just lost. */
    fun scheduleIdleChecks(state: ProxyState, server: ServerName): Step {
        val idle = state.pools.pools[server]?.idle.orEmpty()
        val pools =
            idle.fold(state.pools) { pools, number ->
                pools.with(pools.connections.getValue(number).copy(use = ConnectionUse.Idle(since = DISTANT_PAST)))
            }
        return Step(state.copy(pools = pools))
    }

    private fun check(state: ProxyState, connection: PooledConnection, now: MonotonicTime): Step {
        val pool = state.pools.pools.getValue(connection.server)
        val attempt = AttemptNumber(PartName.POOLS, state.pools.nextAttempt)
        val pools =
            state.pools
                .with(pool.copy(idle = pool.idle.remove(connection.number)))
                .with(connection.copy(use = ConnectionUse.Checking(attempt, since = now)))
                .copy(nextAttempt = attempt.value + 1)
        val reset = SessionCommand.Reset(state.groups.term(pool.database))
        return Step(state.copy(pools = pools))
            .withEffects(Effect.SendSessionCommand(connection.number, attempt, reset))
    }

    private fun maintainConnection(state: ProxyState, connection: PooledConnection, now: MonotonicTime): Step {
        val settings = state.settings.pool
        return when (val use = connection.use) {
            is ConnectionUse.Opening ->
                if (now - use.since > settings.openTimeout) failTimedOutOpening(state, connection, now) else Step(state)
            is ConnectionUse.Checking ->
                if (now - use.since > settings.idleProbeTimeout) closeUnresponsive(state, connection) else Step(state)
            is ConnectionUse.Idle ->
                if (now - use.since > settings.idleProbeAfter) check(state, connection, now) else Step(state)
            is ConnectionUse.Granted -> Step(state)
        }
    }

    private fun failTimedOutOpening(state: ProxyState, connection: PooledConnection, now: MonotonicTime): Step =
        ConnectionLifecycle
            .onConnectionOpenFailed(state, connection.number, ConnectionFailure.TIMED_OUT, now)
            .withEffects(Effect.CloseConnection(connection.number))

    private fun closeUnresponsive(state: ProxyState, connection: PooledConnection): Step =
        ConnectionRemoval
            .close(state, connection.number)
            .then { ShareRelease.connectionReleased(it, connection.server) }

    private val DISTANT_PAST = MonotonicTime(Long.MIN_VALUE / 2)
}
