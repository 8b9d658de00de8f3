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

/** Sends callers' statements on connections that their sessions hold. */
internal object StatementSending {
    /** Sends a statement on the connection of its transaction. */
    fun inTransaction(turn: Reduction, session: Session, pending: PendingStatement, running: Transaction.Running) {
        val connection = turn.state.connections[running.connection]
        val commits = pending.commits && running.wrote
        when {
            connection == null -> {
                val message = "the transaction's server connection was lost"
                abort(turn, session, pending, message)
            }
            commits && !mayCommit(turn, connection) -> {
                ConnectionCheckout.rollback(turn, connection.number)
                abort(turn, session, pending, "the transaction's server is not the primary any more")
            }
            // The position was checked when the transaction began.
            else -> statement(turn, session, pending, connection, minimumPosition = null)
        }
    }

    /** Sends the statement itself on a connection that the session holds. */
    fun statement(
        turn: Reduction,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection,
        minimumPosition: Position?,
    ) {
        val text = serverStatement(session, pending, minimumPosition)
        val (prepared, setup) = SessionSetup.statements(connection, session, text)
        val epoch = turn.group(connection.group).record?.epoch ?: 0
        val sent = pending.copy(phase = Phase.Sent(connection.number, turn.now, epoch), attempts = pending.attempts + 1)
        turn.put(session.copy(pending = sent))
        ConnectionCheckout.send(turn, prepared, setup.map { Purpose.SETUP to it } + (Purpose.CALLER to text))
    }

    private fun serverStatement(
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

    private fun mayCommit(turn: Reduction, connection: ServerConnection): Boolean =
        PrimaryStatus.usable(turn, turn.group(connection.group), turn.settings.leases.writeMargin) == connection.server

    private fun abort(turn: Reduction, session: Session, pending: PendingStatement, message: String) {
        val next = session.copy(transaction = pending.transactionAfterFailure)
        val reply = SessionReplies.refusal(turn, next, ErrorKind.TRANSACTION_ENDED, message)
        SessionReplies.pending(turn, next, pending, reply)
    }
}
