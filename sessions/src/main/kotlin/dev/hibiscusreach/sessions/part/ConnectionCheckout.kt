package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session

/** Checks pooled connections out to sessions, sends statements on them and returns them to the pool. */
internal object ConnectionCheckout {
    /** The connection that a pending statement uses, or null if it has none. */
    fun connectionOf(pending: PendingStatement?): ConnectionNumber? =
        when (val phase = pending?.phase) {
            is PendingStatement.Phase.SettingUp -> phase.connection
            is PendingStatement.Phase.Beginning -> phase.connection
            is PendingStatement.Phase.Sent -> phase.connection
            is PendingStatement.Phase.AwaitingRetry -> phase.connection
            is PendingStatement.Phase.Waiting, is PendingStatement.Phase.Forwarded -> null
            PendingStatement.Phase.AwaitingAllowance, null -> null
        }

    /**
     * An idle connection for [pending] with its server; null if there is none. One that already has the session's
     * values is preferred, since it needs no setup statements; otherwise the one used most recently.
     */
    fun idle(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        candidate: ServerCandidate,
    ): Pair<ServerConnection, ServerCandidate>? {
        val pool = ConnectionPools.connections(reduction, candidate.server.name)
        val idle = pool.filter { it.idle && it.tenant == pending.tenant }
        val connection = idle.find { it.values == session.values } ?: idle.maxByOrNull { it.usedAt?.millis ?: 0 }
        return connection?.let { it to candidate }
    }

    /** Sends statements and records their purposes, so that each answer can be matched to its statement. */
    fun send(reduction: Reduction, connection: ServerConnection, statements: List<Pair<Purpose, ServerStatement>>) {
        val toPrimary = PrimaryStatus.usablePrimary(reduction, reduction.group(connection.group)) == connection.server
        val outstanding = statements.map { (purpose, _) -> OutstandingStatement(purpose, reduction.now, toPrimary) }
        val allOutstanding = connection.outstanding.addAll(outstanding)
        // A probe does not keep a tenant's connection from being closed for another tenant.
        val isProbe = connection.tenant != null && statements.all { it.first == Purpose.PROBE }
        val usedAt = if (isProbe) connection.usedAt else reduction.now
        ConnectionPools.put(reduction, connection.copy(outstanding = allOutstanding, usedAt = usedAt))
        ServerHealthTracking.recordRequest(reduction, connection.server)
        reduction.emit(SessionEffect.SendStatements(connection.number, statements.map { it.second }))
    }

    /** Returns a connection to the pool after the transaction or statement that held it has ended. */
    fun release(reduction: Reduction, number: ConnectionNumber) {
        val connection = reduction.state.connections[number] ?: return
        ConnectionPools.put(reduction, connection.copy(heldBy = null))
    }

    /** Rolls back the open transaction on a connection and returns the connection to the pool. */
    fun rollback(reduction: Reduction, number: ConnectionNumber) {
        val connection = reduction.state.connections[number] ?: return
        send(reduction, connection.copy(heldBy = null), listOf(Purpose.ROLLBACK to ServerStatement.Rollback))
    }

    /**
     * Returns the connection of a session that has ended to the pool. An outstanding begin is rolled back as well,
     * since it opens a transaction.
     */
    fun reclaim(reduction: Reduction, number: ConnectionNumber, rollback: Boolean) {
        val connection = reduction.state.connections[number] ?: return
        val beginOutstanding = connection.outstanding.any { it.purpose == Purpose.BEGIN }
        if (rollback || beginOutstanding) rollback(reduction, number) else release(reduction, number)
    }

    /** Checks a connection out to a session. */
    fun checkOut(reduction: Reduction, connection: ServerConnection, session: SessionNumber): ServerConnection {
        val held = connection.copy(heldBy = session, renewedAt = null)
        val counted =
            if (connection.tenant == null) {
                held
            } else {
                val interval = connection.checkedOutAt?.let { reduction.now - it }
                held.copy(checkedOutAt = reduction.now, checkoutInterval = interval)
            }
        ConnectionPools.put(reduction, counted)
        return counted
    }
}
