package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The session connections, their queues and the permits of callers. */
data class PoolsState(
    val roles: PersistentMap<DatabaseName, ShareRole> = persistentMapOf(),
    val pools: PersistentMap<ServerName, ServerPool> = persistentMapOf(),
    val connections: PersistentMap<ConnectionNumber, PooledConnection> = persistentMapOf(),
    val permits: PermitsState = PermitsState(),
    /** Number of connections that this process may hold to each server, from its role and the inventory. */
    val allowances: PersistentMap<ServerName, Int> = persistentMapOf(),
    /** When a process of this failure domain, which may have been a home, was last lost. */
    val lastHomeLossAt: MonotonicTime? = null,
    val nextConnection: Long = 1,
    val nextAttempt: Long = 1,
) {
    /** Connections of this process's share that could serve a request to [server] now; below 0 if requests queue. */
    fun freeConnections(server: ServerName): Int {
        val pool = pools[server]
        return (allowances[server] ?: 0) - (pool?.busy ?: 0) - (pool?.queue?.size ?: 0)
    }

    /** This state with [pool] replacing its server's pool, or without that pool if [pool] is unused. */
    internal fun with(pool: ServerPool): PoolsState =
        copy(pools = if (pool.isUnused) pools.remove(pool.server) else pools.put(pool.server, pool))

    /** This state with [connection] added, or replacing the one with its number. */
    internal fun with(connection: PooledConnection): PoolsState =
        copy(connections = connections.put(connection.number, connection))
}
