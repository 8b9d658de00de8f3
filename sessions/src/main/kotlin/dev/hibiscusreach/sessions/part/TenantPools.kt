package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.ServerConnection
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** What pools need when each connection belongs to one tenant. None of it applies without tenants. */
internal object TenantPools {
    /** Whether the configuration has tenants. */
    fun apply(reduction: Reduction): Boolean = reduction.state.configuration?.tenants != null

    /** Whether statements of [group] may have no tenant. */
    fun hasPublicRoute(reduction: Reduction, group: GroupName): Boolean =
        reduction.state.configuration?.routes.orEmpty().values.any { it.public && it.group == group }

    /** Records that a connection to [server] is being closed, which the server notices later. */
    fun recordClose(reduction: Reduction, server: ServerName) {
        if (!apply(reduction)) return
        val closing = recentCloses(reduction, server).toPersistentList().add(reduction.now)
        reduction.state = reduction.state.copy(closing = reduction.state.closing.put(server, closing))
    }

    /**
     * Whether the server's limit allows one more connection beside those that it may still count although they were
     * closed. The pools of all homes leave a part of the limit unused, of which each home may use its share for that.
     */
    fun hasRoomForClosing(reduction: Reduction, server: RegisteredServer): Boolean {
        val closing = recentCloses(reduction, server.name).size
        val limit = reduction.state.configuration?.groups?.get(server.group)?.connectionLimit ?: 0
        val homes = GroupHomes.others(reduction, server.group).size + 1
        val maximum = ConnectionPools.maxConnections(reduction, server)
        val reserve = (limit - homes * maximum) / homes
        // Half of a larger share is left for hosts that restart while the server still counts their old connections.
        val usable = if (reserve > 1) reserve / 2 else maxOf(0, reserve)
        return closing == 0 || ConnectionPools.connections(reduction, server.name).size + closing < maximum + usable
    }

    /** Whether connections without a tenant are opened to the servers of [group] in advance. */
    fun allowsWarmUp(reduction: Reduction, group: GroupName): Boolean =
        !apply(reduction) || hasPublicRoute(reduction, group)

    /** Closes the idle connections that no statement will use, and those beyond the size of their pool. */
    fun review(reduction: Reduction) {
        closeObsolete(reduction)
        if (!apply(reduction)) return
        for (name in reduction.state.pools.keys) {
            val server = reduction.state.server(name) ?: continue
            val pool = ConnectionPools.connections(reduction, name)
            val surplus = pool.size - ConnectionPools.maxConnections(reduction, server)
            longestIdle(pool).take(maxOf(0, surplus)).forEach { ConnectionPools.close(reduction, it) }
        }
        val closing = reduction.state.closing
        if (closing.isNotEmpty()) {
            val expired = closing.keys.filter { recentCloses(reduction, it).isEmpty() }
            reduction.state = reduction.state.copy(closing = expired.fold(closing) { rest, name -> rest.remove(name) })
        }
    }

    /** Closes the idle connections of tenants that the configuration has no longer. */
    fun closeObsolete(reduction: Reduction) {
        val obsolete = reduction.state.connections.values.filter { it.idle && isObsolete(reduction, it) }
        if (obsolete.isEmpty()) return
        reduction.log("connections of removed tenants closed", "connections" to obsolete.size)
        obsolete.forEach { ConnectionPools.close(reduction, it) }
    }

    /** The idle connections of [pool], those that have been idle for longest first. */
    fun longestIdle(pool: List<ServerConnection>): List<ServerConnection> =
        pool.filter { it.idle }.sortedBy { it.usedAt?.millis ?: 0 }

    private fun isObsolete(reduction: Reduction, connection: ServerConnection): Boolean {
        val directory = reduction.state.configuration?.tenants
        return when {
            directory == null -> connection.tenant != null
            connection.tenant == null -> !hasPublicRoute(reduction, connection.group)
            else -> connection.tenant !in directory.tenants
        }
    }

    private fun recentCloses(reduction: Reduction, server: ServerName) =
        reduction.state.closing[server]
            ?.filter { reduction.now - it < reduction.settings.tenantPools.closeDelay }
            ?: persistentListOf()
}
