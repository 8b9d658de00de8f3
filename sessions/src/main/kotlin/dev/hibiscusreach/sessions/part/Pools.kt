package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.Outstanding
import dev.hibiscusreach.sessions.state.Outstanding.Purpose
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.ServerConnection
import kotlinx.collections.immutable.persistentSetOf

/** The connections to servers. */
internal object Pools {
    /** All connections to a server. */
    fun connections(turn: Turn, server: ServerName): List<ServerConnection> =
        turn.state.pools[server]
            ?.mapNotNull { turn.state.connections[it] }
            .orEmpty()

    /** The connection that a pending statement uses, if it uses one. */
    fun heldBy(pending: PendingStatement?): ConnectionNumber? =
        when (val phase = pending?.phase) {
            is PendingStatement.Phase.Beginning -> phase.connection
            is PendingStatement.Phase.Sent -> phase.connection
            is PendingStatement.Phase.Repeating -> phase.connection
            is PendingStatement.Phase.Waiting, null -> null
        }

    /** Connections that this proxy may have to [server]: an equal share for each running proxy. */
    fun limit(turn: Turn, server: RegisteredServer): Int {
        val rule = turn.state.configuration?.groups?.get(server.group) ?: return 0
        val proxies = turn.state.fleet.records.values.count { it.record is FleetRecord.Proxy }
        val shared = rule.connectionLimit * turn.settings.connections.sharePercent / FULL_PERCENT
        return maxOf(1, shared / maxOf(1, proxies))
    }

    /** Opens a connection unless the limit or a pause forbids it. */
    fun open(turn: Turn, server: RegisteredServer): Boolean {
        val paused = turn.health(server.name).connectAfter?.let { turn.now < it } ?: false
        if (paused || connections(turn, server.name).size >= limit(turn, server)) return false
        val number = ConnectionNumber(turn.state.nextConnection)
        put(turn, ServerConnection(number, server.name, server.group))
        turn.state = turn.state.copy(nextConnection = turn.state.nextConnection + 1)
        markAsked(turn, server.name)
        turn.count(SessionCounter.CONNECTIONS, "opened")
        turn.emit(SessionEffect.OpenConnection(number, server))
        return true
    }

    fun put(turn: Turn, connection: ServerConnection) {
        val state = turn.state
        val pool = (state.pools[connection.server] ?: persistentSetOf()).add(connection.number)
        turn.state =
            state.copy(
                connections = state.connections.put(connection.number, connection),
                pools = state.pools.put(connection.server, pool),
            )
    }

    /** Forgets a connection that is closed. */
    fun remove(turn: Turn, connection: ServerConnection) {
        val state = turn.state
        val pool = state.pools[connection.server]?.remove(connection.number) ?: persistentSetOf()
        val pools =
            if (pool.isEmpty()) state.pools.remove(connection.server) else state.pools.put(connection.server, pool)
        turn.state = state.copy(connections = state.connections.remove(connection.number), pools = pools)
    }

    /** Closes a connection; the server rolls back what is open on it. */
    fun close(turn: Turn, connection: ServerConnection) {
        remove(turn, connection)
        turn.count(SessionCounter.CONNECTIONS, "closed")
        turn.emit(SessionEffect.CloseConnection(connection.number))
    }

    /** Sends statements and remembers what their answers belong to. */
    fun send(turn: Turn, connection: ServerConnection, statements: List<Pair<Purpose, ServerStatement>>) {
        val primary = Primaries.usable(turn, turn.group(connection.group)) == connection.server
        val outstanding = statements.map { (purpose, _) -> Outstanding(purpose, turn.now, primary) }
        put(turn, connection.copy(outstanding = connection.outstanding.addAll(outstanding)))
        markAsked(turn, connection.server)
        turn.emit(SessionEffect.SendStatements(connection.number, statements.map { it.second }))
    }

    /** Takes a connection back from a session after its transaction or statement has ended. */
    fun release(turn: Turn, number: ConnectionNumber) {
        val connection = turn.state.connections[number] ?: return
        put(turn, connection.copy(heldBy = null))
    }

    /** Rolls back what is open on a connection and takes it back. */
    fun rollback(turn: Turn, number: ConnectionNumber) {
        val connection = turn.state.connections[number] ?: return
        send(turn, connection.copy(heldBy = null), listOf(Purpose.ROLLBACK to ServerStatement.Rollback))
    }

    /** Takes a connection back from a session that has gone. */
    fun abandon(turn: Turn, number: ConnectionNumber, rollback: Boolean) {
        val connection = turn.state.connections[number] ?: return
        val begins = connection.outstanding.any { it.purpose == Purpose.BEGIN }
        if (rollback || begins) rollback(turn, number) else release(turn, number)
    }

    /** Gives a connection to a session. */
    fun hold(turn: Turn, connection: ServerConnection, session: SessionNumber): ServerConnection =
        connection.copy(heldBy = session).also { put(turn, it) }

    /** Lengthens the pause before the next connection to a server. */
    fun pauseOpening(turn: Turn, server: ServerName) {
        val limits = turn.settings.connections
        turn.updateHealth(server) { health ->
            val pause = health.connectPause?.let { minOf(it * 2, limits.longestPause) } ?: limits.firstPause
            health.copy(connectPause = pause, connectAfter = turn.now + pause)
        }
    }

    /** Records an answer of a server. */
    fun markAnswered(turn: Turn, server: ServerName) =
        turn.updateHealth(server) { it.copy(answeredAt = turn.now, silentSince = null) }

    /** Smooths the duration of statements at a server. */
    fun markLatency(turn: Turn, server: ServerName, duration: Millis) =
        turn.updateHealth(server) { health ->
            val before = health.latency ?: duration
            health.copy(latency = Millis((before.value * SMOOTHING + duration.value) / (SMOOTHING + 1)))
        }

    private fun markAsked(turn: Turn, server: ServerName) =
        turn.updateHealth(server) { it.copy(silentSince = it.silentSince ?: turn.now) }

    /** Weight of the earlier durations against one new duration. */
    private const val SMOOTHING = 7L
}
