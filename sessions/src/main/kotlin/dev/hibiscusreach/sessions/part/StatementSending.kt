package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Sends statements of callers on the server connections that their sessions hold. */
internal object StatementSending {
    /** Sends a statement on the connection of its transaction, or aborts the transaction if that is not possible. */
    fun sendInTransaction(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        running: Transaction.Running,
    ) {
        val connection = reduction.state.connections[running.connection]
        val commits = pending.commits && running.wrote
        when {
            connection == null -> {
                val message = "the transaction's server connection was lost"
                abort(reduction, session, pending, message)
            }
            commits && !mayCommit(reduction, connection) -> {
                ConnectionCheckout.rollback(reduction, connection.number)
                abort(reduction, session, pending, "the transaction's server is no longer the primary")
            }
            // The minimum position was checked when the transaction began.
            else -> send(reduction, session, pending, connection, minimumPosition = null)
        }
    }

    /** Sends the statement for which [connection] has been set up, unless its server may not run it any more. */
    fun sendAfterSetup(reduction: Reduction, connection: ServerConnection) {
        val session = connection.heldBy?.let { reduction.session(it) }
        val pending = session?.pending
        if (pending == null || pending.phase !is Phase.SettingUp) return
        val running = session.running
        if (running != null) return sendInTransaction(reduction, session, pending, running)
        val candidate =
            ServerSelection
                .candidates(reduction, session, pending)
                .find { it.server.name == connection.server }
                .takeUnless { StatementForwarding.isNeeded(reduction, session, pending) }
        if (candidate == null) {
            ConnectionCheckout.release(reduction, connection.number)
            StatementDispatch.requeue(reduction, session, pending)
        } else {
            send(reduction, session, pending, connection, candidate.minimumPosition)
        }
    }

    /**
     * Sends a statement on [connection]. If the session has to be set up on it first, that is sent alone: the server
     * would run the statement also behind a failure.
     */
    fun send(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection,
        minimumPosition: Position?,
    ) {
        val toSend = serverStatement(session, pending, minimumPosition)
        val limit = reduction.settings.kept.bytesPerConnection
        val (prepared, setup) = SessionSetup.statements(connection, session, toSend, limit)
        if (setup.isNotEmpty()) {
            val settingUp = Phase.SettingUp(connection.number, reduction.now)
            reduction.put(session.copy(pending = pending.copy(phase = settingUp)))
            ConnectionCheckout.send(reduction, prepared, setup.map { Purpose.SETUP to it })
            return
        }
        val record = reduction.group(connection.group).record
        val sent =
            pending.copy(
                phase = Phase.Sent(connection.number, reduction.now, record?.epoch ?: 0, record?.term),
                attempts = pending.attempts + 1,
            )
        reduction.put(session.copy(pending = sent))
        ServerLoads.recordSent(reduction, session, pending, connection.server)
        ConnectionCheckout.send(reduction, connection, listOf(Purpose.CALLER to toSend))
    }

    /** What a server gets for a pending statement. */
    fun serverStatement(
        session: Session,
        pending: PendingStatement,
        minimumPosition: Position?,
    ): ServerStatement =
        when (val statement = pending.statement) {
            is CallerStatement.Run -> ServerStatement.Run(pending.identifier, statement.text, minimumPosition)
            is CallerStatement.Execute ->
                ServerStatement.Execute(
                    identifier = pending.identifier,
                    prepared = session.prepared.getValue(statement.name),
                    arguments = statement.arguments,
                    minimumPosition = minimumPosition,
                )
            else -> ServerStatement.Commit(pending.identifier)
        }

    private fun mayCommit(reduction: Reduction, connection: ServerConnection): Boolean =
        PrimaryStatus.usablePrimary(
            reduction,
            reduction.group(connection.group),
            reduction.settings.leases.writeMargin,
        ) == connection.server

    private fun abort(reduction: Reduction, session: Session, pending: PendingStatement, message: String) {
        val next = session.copy(transaction = pending.transactionAfterFailure)
        val reply = SessionReplies.refusal(reduction, next, ErrorKind.TRANSACTION_ENDED, message)
        SessionReplies.answerPending(reduction, next, pending, reply)
    }
}
