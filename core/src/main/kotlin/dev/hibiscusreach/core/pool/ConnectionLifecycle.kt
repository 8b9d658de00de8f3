package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Opens session connections and follows them until they are closed. */
internal object ConnectionLifecycle {
    /** Opens a connection to [pool]'s server; does nothing if the server is not in the configuration. */
    fun open(state: ProxyState, pool: ServerPool, now: MonotonicTime): Step {
        val server = state.configuration.index.server(pool.server) ?: return Step(state)
        val number = ConnectionNumber(state.pools.nextConnection)
        val pools =
            state.pools
                .with(pool.copy(connections = pool.connections.add(number), opening = pool.opening + 1))
                .with(PooledConnection(number, pool.server, ConnectionUse.Opening(since = now)))
                .copy(nextConnection = number.value + 1)
        return Step(state.copy(pools = pools))
            .withEffects(
                Effect.OpenConnection(number, pool.server, server.sessionEndpoint),
                Effect.Count(CounterName.CONNECTIONS_OPENED, label = pool.server.value),
            )
    }

    /** Makes a newly opened connection available; closes it if it is not expected any more. */
    fun onConnectionOpened(state: ProxyState, number: ConnectionNumber, now: MonotonicTime): Step {
        val connection = state.pools.connections[number]
        val pool = connection?.let { state.pools.pools[it.server] }
        return if (pool == null || connection.use !is ConnectionUse.Opening) {
            Step(state).withEffects(Effect.CloseConnection(number))
        } else {
            val ready = pool.copy(opening = pool.opening - 1)
            makeIdle(state.copy(pools = state.pools.with(ready)), connection, now)
        }
    }

    /** Schedules a retry after a failed opening, and denies the waiters if the server has no connection left. */
    fun onConnectionOpenFailed(
        state: ProxyState,
        number: ConnectionNumber,
        failure: ConnectionFailure,
        now: MonotonicTime,
    ): Step {
        val connection = state.pools.connections[number] ?: return Step(state)
        val openRetryAt = now + state.settings.pool.openRetry
        val isLimit = failure == ConnectionFailure.LIMIT_REACHED
        val removed =
            ConnectionRemoval.remove(state, connection)
                .then { Step(it.updatePool(connection.server) { pool -> pool.copy(openRetryAt = openRetryAt) }) }
        val reported =
            if (isLimit) {
                removed.withEffects(Effect.Count(CounterName.CONNECTIONS_REFUSED, label = connection.server.value))
            } else {
                removed
                    .withSignals(Signal.ServerFailed(connection.server, failure))
                    .then { denyIfUnreachable(it, connection.server) }
            }
        return reported.then { ShareRelease.connectionReleased(it, connection.server) }
    }

    /** Handles a connection that was closed by the other side or broke. */
    fun onConnectionClosed(state: ProxyState, number: ConnectionNumber): Step {
        val connection = state.pools.connections[number] ?: return Step(state)
        val removed = ConnectionRemoval.remove(state, connection)
        val closed =
            removed
                .then { ConnectionHealthChecks.scheduleIdleChecks(it, connection.server) }
                .then { ShareRelease.connectionReleased(it, connection.server) }
        return if (connection.use is ConnectionUse.Granted) {
            closed.withSignals(
                Signal.ConnectionLost(number, ConnectionFailure.BROKEN),
                Signal.ServerFailed(connection.server, ConnectionFailure.BROKEN),
            )
        } else {
            closed
        }
    }

    /** Makes a working connection without session state idle; closes it if it exceeds the allowance. */
    fun makeIdle(state: ProxyState, connection: PooledConnection, now: MonotonicTime): Step {
        val pool = state.pools.pools.getValue(connection.server)
        val idle =
            state.pools
                .with(pool.copy(idle = pool.idle.add(connection.number)))
                .with(connection.copy(use = ConnectionUse.Idle(since = now)))
        return ConnectionDispatch
            .dispatch(state.copy(pools = idle), connection.server, now)
            .then { ConnectionRemoval.closeIfExcess(it, connection.number) }
    }

    private fun denyIfUnreachable(state: ProxyState, server: ServerName): Step {
        val hasConnections = state.pools.pools[server]?.connections?.isNotEmpty() == true
        return if (hasConnections) {
            Step(state)
        } else {
            ConnectionQueue.denyAll(state, server, ErrorKind.SERVER_UNREACHABLE)
        }
    }

    private fun ProxyState.updatePool(server: ServerName, change: (ServerPool) -> ServerPool): ProxyState {
        val pool = pools.pools[server] ?: return this
        return copy(pools = pools.with(change(pool)))
    }
}
