package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.tenant.TenantName
import kotlinx.collections.immutable.persistentSetOf

/** The pools of connections to backend servers, one pool for each server. */
internal object ConnectionPools {
    /** Connections to a server that are opened in advance and kept while idle; waiting statements open more. */
    private const val MIN_CONNECTIONS = 1

    /** All connections to a server, including those that are still being opened. */
    fun connections(reduction: Reduction, server: ServerName): List<ServerConnection> =
        reduction.state.pools[server]
            ?.mapNotNull { reduction.state.connections[it] }
            .orEmpty()

    /**
     * Maximum number of connections of this proxy to [server]: an equal share, for each home of the group, of the
     * usable percentage of the group's limit; at least 1, but 0 for a group without configuration or of other homes.
     */
    fun maxConnections(reduction: Reduction, server: RegisteredServer): Int {
        val rule = reduction.state.configuration?.groups?.get(server.group)
        if (rule == null || !GroupHomes.isHome(reduction, server.group)) return 0
        val homes = GroupHomes.others(reduction, server.group).size + 1
        val fleetLimit = rule.connectionLimit * reduction.settings.connections.sharePercent / FULL_PERCENT
        return maxOf(1, fleetLimit / homes)
    }

    /** Opens a connection unless the pool is full or connects to the server are paused; returns whether it does. */
    fun open(reduction: Reduction, server: RegisteredServer, tenant: TenantName? = null): Boolean {
        val isFull = connections(reduction, server.name).size >= maxConnections(reduction, server)
        val isPaused = ServerHealthTracking.isConnectPaused(reduction, server.name)
        if (isFull || isPaused || !TenantPools.hasRoomForClosing(reduction, server)) return false
        val number = ConnectionNumber(reduction.state.nextConnection)
        put(reduction, ServerConnection(number, server.name, server.group, tenant))
        reduction.state = reduction.state.copy(nextConnection = reduction.state.nextConnection + 1)
        ServerHealthTracking.recordRequest(reduction, server.name)
        reduction.count(SessionCounter.CONNECTIONS, "opened")
        reduction.emit(SessionEffect.OpenConnection(number, server, tenant))
        return true
    }

    /** Opens connections to the primary and to the nearest server of each group before callers need them. */
    fun warmUp(reduction: Reduction) {
        val servers = reduction.state.servers.values.map { it.server }.filter { !it.leaving }
        val served =
            servers
                .groupBy { it.group }
                .filterKeys { GroupHomes.isHome(reduction, it) && TenantPools.allowsWarmUp(reduction, it) }
        for ((name, members) in served) {
            val primary = members.find { it.name == reduction.group(name).record?.primary }
            val nearest = members.minByOrNull { ServerSelection.cost(reduction, it).value }
            listOfNotNull(primary, nearest).distinct().forEach { server ->
                if (connections(reduction, server.name).size < MIN_CONNECTIONS) open(reduction, server)
            }
        }
    }

    /** Closes one connection of each pool that has exceeded the idle timeout, unless it is the last one of its pool. */
    fun evictIdle(reduction: Reduction) {
        val settings = reduction.settings
        val idleTimeout =
            if (TenantPools.apply(reduction)) settings.tenantPools.idleTimeout else settings.connections.idleTimeout
        for (server in reduction.state.pools.keys) {
            val pool = connections(reduction, server)
            val expired = pool.find { it.idle && reduction.now - (it.usedAt ?: reduction.now) > idleTimeout }
            if (expired != null && pool.size > MIN_CONNECTIONS) close(reduction, expired)
        }
    }

    /** Closes the connections that no session holds and on which a statement is unanswered for too long. */
    fun closeSilent(reduction: Reduction) {
        for (connection in reduction.state.connections.values.filter { it.heldBy == null }) {
            val oldest = connection.outstanding.firstOrNull()
            val silence = reduction.now - (oldest?.sentAt ?: reduction.now)
            if (oldest != null && silence > reduction.settings.connections.answerTimeout) {
                reduction.log(
                    "silent connection closed",
                    "server" to connection.server,
                    "connection" to connection.number.value,
                    "unanswered" to oldest.purpose.name,
                    "millis" to silence.value,
                )
                close(reduction, connection)
            }
        }
    }

    /** Closes the connections to the servers of [group] that no session holds. */
    fun closeAll(reduction: Reduction, group: GroupName) =
        reduction.state.connections.values
            .filter { it.group == group && it.heldBy == null }
            .forEach { close(reduction, it) }

    /** Stores a connection and adds it to the pool of its server. */
    fun put(reduction: Reduction, connection: ServerConnection) {
        val state = reduction.state
        val pool = (state.pools[connection.server] ?: persistentSetOf()).add(connection.number)
        reduction.state =
            state.copy(
                connections = state.connections.put(connection.number, connection),
                pools = state.pools.put(connection.server, pool),
            )
        if (connection.idle) reduction.servable += connection.group
    }

    /** Removes a connection that is already closed. */
    fun remove(reduction: Reduction, connection: ServerConnection) {
        val state = reduction.state
        val pool = state.pools[connection.server]?.remove(connection.number) ?: persistentSetOf()
        val pools =
            if (pool.isEmpty()) state.pools.remove(connection.server) else state.pools.put(connection.server, pool)
        reduction.state = state.copy(connections = state.connections.remove(connection.number), pools = pools)
        reduction.servable += connection.group
    }

    /** Closes a connection; the server rolls back its open transaction. */
    fun close(reduction: Reduction, connection: ServerConnection) {
        remove(reduction, connection)
        TenantPools.recordClose(reduction, connection.server)
        reduction.count(SessionCounter.CONNECTIONS, "closed")
        reduction.emit(SessionEffect.CloseConnection(connection.number))
    }
}
