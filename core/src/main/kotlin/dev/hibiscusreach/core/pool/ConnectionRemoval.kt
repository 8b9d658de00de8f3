package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Closes connections and removes them from their pools. */
internal object ConnectionRemoval {
    /** Closes a connection that is not in use or must not be used again. */
    fun close(state: ProxyState, number: ConnectionNumber): Step {
        val connection = state.pools.connections[number] ?: return Step(state)
        return remove(state, connection).withEffects(Effect.CloseConnection(number))
    }

    /** Closes an idle connection if its pool exceeds this process's allowance. */
    fun closeIfExcess(state: ProxyState, number: ConnectionNumber): Step {
        val connection = state.pools.connections[number]
        val pool = connection?.let { state.pools.pools[it.server] }
        return if (pool != null && connection.use is ConnectionUse.Idle && isOverAllowance(state, pool)) {
            close(state, number).then { ShareRelease.connectionReleased(it, pool.server) }
        } else {
            Step(state)
        }
    }

    /** Removes a connection from its pool and releases its permit. */
    fun remove(state: ProxyState, connection: PooledConnection): Step {
        val pool = state.pools.pools[connection.server] ?: return Step(state)
        val isOpening = connection.use is ConnectionUse.Opening
        val reduced =
            pool.copy(
                connections = pool.connections.remove(connection.number),
                idle = pool.idle.remove(connection.number),
                opening = if (isOpening) pool.opening - 1 else pool.opening,
            )
        val pools = state.pools.with(reduced)
        val remaining = pools.copy(connections = pools.connections.remove(connection.number))
        val permits =
            (connection.use as? ConnectionUse.Granted)
                ?.let { remaining.permits.release(it.caller) }
                ?: remaining.permits
        return Step(state.copy(pools = remaining.copy(permits = permits)))
    }

    // While a share is being acquired, connections that are already open count towards it and are kept.
    private fun isOverAllowance(state: ProxyState, pool: ServerPool): Boolean =
        state.pools.roles[pool.database] !is ShareRole.Acquiring &&
            pool.connections.size > (state.pools.allowances[pool.server] ?: 0)
}
