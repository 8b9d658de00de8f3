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

/** Finds idle connections that do not work any more. */
internal object ConnectionChecks {
    /** The answer to the check of an idle connection. */
    fun checked(state: ProxyState, number: ConnectionNumber, answer: SessionAnswer, now: MonotonicTime): Step {
        val connection = state.pools.connections[number]
        val use = connection?.use as? ConnectionUse.Checking ?: return Step(state)
        return ConnectionLifecycle.makeIdle(state, connection, now)
            .withSignals(Signal.ServerObserved(answer.status, sentAt = use.since))
    }

    /** Checks idle connections, and closes those that stayed silent when checked or opened. */
    fun maintain(state: ProxyState, now: MonotonicTime): Step =
        state.pools.connections.values.fold(Step(state)) { step, connection ->
            step.then { maintainConnection(it, connection, now) }
        }

    /** Checks all idle connections of [server] at the next turn, as they may have failed with the one just lost. */
    fun checkIdleSoon(state: ProxyState, server: ServerName): Step {
        val idle = state.pools.pools[server]?.idle.orEmpty()
        val pools =
            idle.fold(state.pools) { pools, number ->
                pools.with(pools.connections.getValue(number).copy(use = ConnectionUse.Idle(since = LONG_AGO)))
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
                if (now - use.since > settings.openTimeout) giveUpOpening(state, connection, now) else Step(state)
            is ConnectionUse.Checking ->
                if (now - use.since > settings.idleProbeTimeout) dropSilent(state, connection) else Step(state)
            is ConnectionUse.Idle ->
                if (now - use.since > settings.idleProbeAfter) check(state, connection, now) else Step(state)
            is ConnectionUse.Granted -> Step(state)
        }
    }

    private fun giveUpOpening(state: ProxyState, connection: PooledConnection, now: MonotonicTime): Step =
        ConnectionLifecycle
            .openFailed(state, connection.number, ConnectionFailure.TIMED_OUT, now)
            .withEffects(Effect.CloseConnection(connection.number))

    private fun dropSilent(state: ProxyState, connection: PooledConnection): Step =
        ConnectionRemoval
            .drop(state, connection.number)
            .then { ShareRelease.connectionReleased(it, connection.server) }

    private val LONG_AGO = MonotonicTime(Long.MIN_VALUE / 2)
}
