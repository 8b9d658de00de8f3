package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.ServerConnection

/** Gives connections to sessions, sends on them and takes them back. */
internal object ConnectionCheckout {
    /** The connection that a pending statement uses, if it uses one. */
    fun heldBy(pending: PendingStatement?): ConnectionNumber? =
        when (val phase = pending?.phase) {
            is PendingStatement.Phase.Beginning -> phase.connection
            is PendingStatement.Phase.Sent -> phase.connection
            is PendingStatement.Phase.AwaitingRetry -> phase.connection
            is PendingStatement.Phase.Waiting, null -> null
        }

    /** Sends statements and remembers what their answers belong to. */
    fun send(turn: Reduction, connection: ServerConnection, statements: List<Pair<Purpose, ServerStatement>>) {
        val primary = PrimaryStatus.usable(turn, turn.group(connection.group)) == connection.server
        val outstanding = statements.map { (purpose, _) -> OutstandingStatement(purpose, turn.now, primary) }
        val all = connection.outstanding.addAll(outstanding)
        ConnectionPools.put(turn, connection.copy(outstanding = all, usedAt = turn.now))
        ServerHealthTracking.asked(turn, connection.server)
        turn.emit(SessionEffect.SendStatements(connection.number, statements.map { it.second }))
    }

    /** Takes a connection back from a session after its transaction or statement has ended. */
    fun release(turn: Reduction, number: ConnectionNumber) {
        val connection = turn.state.connections[number] ?: return
        ConnectionPools.put(turn, connection.copy(heldBy = null))
    }

    /** Rolls back what is open on a connection and takes it back. */
    fun rollback(turn: Reduction, number: ConnectionNumber) {
        val connection = turn.state.connections[number] ?: return
        send(turn, connection.copy(heldBy = null), listOf(Purpose.ROLLBACK to ServerStatement.Rollback))
    }

    /** Takes a connection back from a session that has gone. */
    fun abandon(turn: Reduction, number: ConnectionNumber, rollback: Boolean) {
        val connection = turn.state.connections[number] ?: return
        val begins = connection.outstanding.any { it.purpose == Purpose.BEGIN }
        if (rollback || begins) rollback(turn, number) else release(turn, number)
    }

    /** Gives a connection to a session. */
    fun hold(turn: Reduction, connection: ServerConnection, session: SessionNumber): ServerConnection =
        connection.copy(heldBy = session).also { ConnectionPools.put(turn, it) }
}
