package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Closes connections and takes them out of their pools. */
internal object ConnectionRemoval {
    /** Closes a connection that nobody uses, or that must not be used again. */
    fun drop(state: ProxyState, number: ConnectionNumber): Step {
        val connection = state.pools.connections[number] ?: return Step(state)
        return remove(state, connection).withEffects(Effect.CloseConnection(number))
    }

    /** Closes an idle connection that exceeds what this process may hold. */
    fun dropIfExcess(state: ProxyState, number: ConnectionNumber): Step {
        val connection = state.pools.connections[number]
        val pool = connection?.let { state.pools.pools[it.server] }
        return if (pool != null && connection.use is ConnectionUse.Idle && isOverAllowance(state, pool)) {
            drop(state, number).then { ShareRelease.connectionReleased(it, pool.server) }
        } else {
            Step(state)
        }
    }

    /** Takes a connection out of its pool and gives its permit back. */
    fun remove(state: ProxyState, connection: PooledConnection): Step {
        val pool = state.pools.pools[connection.server] ?: return Step(state)
        val isOpening = connection.use is ConnectionUse.Opening
        val smaller =
            pool.copy(
                connections = pool.connections.remove(connection.number),
                idle = pool.idle.remove(connection.number),
                opening = if (isOpening) pool.opening - 1 else pool.opening,
            )
        val pools = state.pools.with(smaller)
        val without = pools.copy(connections = pools.connections.remove(connection.number))
        val permits =
            (connection.use as? ConnectionUse.Granted)
                ?.let { without.permits.returned(it.caller) }
                ?: without.permits
        return Step(state.copy(pools = without.copy(permits = permits)))
    }

    // A home that acquires its share counts what it held before, so only the other roles close connections.
    private fun isOverAllowance(state: ProxyState, pool: ServerPool): Boolean =
        state.pools.roles[pool.database] !is ShareRole.Acquiring &&
            pool.connections.size > (state.pools.allowances[pool.server] ?: 0)
}
