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

/** Opens, checks and closes session connections. */
internal object ConnectionLifecycle {
    /** Opens a connection to [pool]'s server. */
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

    /** A connection is ready for use. */
    fun opened(state: ProxyState, number: ConnectionNumber, now: MonotonicTime): Step {
        val connection = state.pools.connections[number]
        val pool = connection?.let { state.pools.pools[it.server] }
        return if (pool == null || connection.use !is ConnectionUse.Opening) {
            Step(state).withEffects(Effect.CloseConnection(number))
        } else {
            val ready = pool.copy(opening = pool.opening - 1)
            makeIdle(state.copy(pools = state.pools.with(ready)), connection, now)
        }
    }

    /** A connection could not be opened; tries again later, and tells the waiters if none is left to wait for. */
    fun openFailed(
        state: ProxyState,
        number: ConnectionNumber,
        failure: ConnectionFailure,
        now: MonotonicTime,
    ): Step {
        val connection = state.pools.connections[number] ?: return Step(state)
        val opensAfter = now + state.settings.pool.openRetry
        val isLimit = failure == ConnectionFailure.LIMIT_REACHED
        val removed =
            ConnectionRemoval.remove(state, connection)
                .then { Step(it.updatePool(connection.server) { pool -> pool.copy(opensAfter = opensAfter) }) }
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

    /** An open connection was closed by the other side or broke. */
    fun closed(state: ProxyState, number: ConnectionNumber): Step {
        val connection = state.pools.connections[number] ?: return Step(state)
        val removed = ConnectionRemoval.remove(state, connection)
        val suspect =
            removed
                .then { ConnectionChecks.checkIdleSoon(it, connection.server) }
                .then { ShareRelease.connectionReleased(it, connection.server) }
        return if (connection.use is ConnectionUse.Granted) {
            suspect.withSignals(
                Signal.ConnectionLost(number, ConnectionFailure.BROKEN),
                Signal.ServerFailed(connection.server, ConnectionFailure.BROKEN),
            )
        } else {
            suspect
        }
    }

    /** A connection works and has no session state; keeps it, unless the share belongs to another home. */
    fun makeIdle(state: ProxyState, connection: PooledConnection, now: MonotonicTime): Step {
        val pool = state.pools.pools.getValue(connection.server)
        val idle =
            state.pools
                .with(pool.copy(idle = pool.idle.add(connection.number)))
                .with(connection.copy(use = ConnectionUse.Idle(since = now)))
        return ConnectionDispatch
            .dispatch(state.copy(pools = idle), connection.server, now)
            .then { ConnectionRemoval.dropIfExcess(it, connection.number) }
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
