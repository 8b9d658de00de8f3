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

    fun dropIfExcess(state: ProxyState, number: ConnectionNumber): Step {
        val connection = state.pools.connections[number]
        val isIdle = connection?.use is ConnectionUse.Idle
        val held = connection?.let { state.pools.pools[it.server]?.connections?.size } ?: 0
        val allowance = connection?.let { state.pools.allowances[it.server] } ?: 0
        val role = connection?.let { found ->
            state.pools.pools[found.server]?.let { state.pools.roles[it.database] }
        }
        val mustClose = role !is ShareRole.Acquiring && held > allowance
        return if (isIdle && mustClose) {
            drop(state, number).then { ShareRelease.connectionReleased(it, connection!!.server) }
        } else {
            Step(state)
        }
    }

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
}
