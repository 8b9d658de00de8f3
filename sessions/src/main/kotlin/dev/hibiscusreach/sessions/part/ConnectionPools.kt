package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.ServerConnection
import kotlinx.collections.immutable.persistentSetOf

/** The connections to servers. */
internal object ConnectionPools {
    /** More are opened as statements wait. */
    private const val WARM_CONNECTIONS = 1

    /** All connections to a server. */
    fun connections(turn: Reduction, server: ServerName): List<ServerConnection> =
        turn.state.pools[server]
            ?.mapNotNull { turn.state.connections[it] }
            .orEmpty()

    /** Connections that this proxy may have to [server]: an equal share for each running proxy. */
    fun limit(turn: Reduction, server: RegisteredServer): Int {
        val rule = turn.state.configuration?.groups?.get(server.group) ?: return 0
        val proxies = turn.state.fleet.members.size
        val shared = rule.connectionLimit * turn.settings.connections.sharePercent / FULL_PERCENT
        return maxOf(1, shared / maxOf(1, proxies))
    }

    /** Opens a connection unless the limit or a pause forbids it. */
    fun open(turn: Reduction, server: RegisteredServer): Boolean {
        val full = connections(turn, server.name).size >= limit(turn, server)
        if (full || ServerHealthTracking.isPaused(turn, server.name)) return false
        val number = ConnectionNumber(turn.state.nextConnection)
        put(turn, ServerConnection(number, server.name, server.group))
        turn.state = turn.state.copy(nextConnection = turn.state.nextConnection + 1)
        ServerHealthTracking.asked(turn, server.name)
        turn.count(SessionCounter.CONNECTIONS, "opened")
        turn.emit(SessionEffect.OpenConnection(number, server))
        return true
    }

    /** Opens the first connections to the primary and to the nearest server of each group, before callers need them. */
    fun warm(turn: Reduction) {
        val servers = turn.state.servers.values.map { it.server }.filter { !it.leaving }
        for ((name, members) in servers.groupBy { it.group }) {
            val primary = members.find { it.name == turn.group(name).record?.primary }
            val nearest = members.minByOrNull { ServerSelection.cost(turn, it).value }
            listOfNotNull(primary, nearest).distinct().forEach { server ->
                if (connections(turn, server.name).size < WARM_CONNECTIONS) open(turn, server)
            }
        }
    }

    /** Closes connections that have not been needed lately, but for one of each server. */
    fun trim(turn: Reduction) {
        val limit = turn.settings.connections.idleTimeout
        for (server in turn.state.pools.keys) {
            val pool = connections(turn, server)
            val spare = pool.find { it.idle && turn.now - (it.usedAt ?: turn.now) > limit }
            if (spare != null && pool.size > WARM_CONNECTIONS) close(turn, spare)
        }
    }

    fun put(turn: Reduction, connection: ServerConnection) {
        val state = turn.state
        val pool = (state.pools[connection.server] ?: persistentSetOf()).add(connection.number)
        turn.state =
            state.copy(
                connections = state.connections.put(connection.number, connection),
                pools = state.pools.put(connection.server, pool),
            )
    }

    /** Forgets a connection that is closed. */
    fun remove(turn: Reduction, connection: ServerConnection) {
        val state = turn.state
        val pool = state.pools[connection.server]?.remove(connection.number) ?: persistentSetOf()
        val pools =
            if (pool.isEmpty()) state.pools.remove(connection.server) else state.pools.put(connection.server, pool)
        turn.state = state.copy(connections = state.connections.remove(connection.number), pools = pools)
    }

    /** Closes a connection; the server rolls back what is open on it. */
    fun close(turn: Reduction, connection: ServerConnection) {
        remove(turn, connection)
        turn.count(SessionCounter.CONNECTIONS, "closed")
        turn.emit(SessionEffect.CloseConnection(connection.number))
    }
}
