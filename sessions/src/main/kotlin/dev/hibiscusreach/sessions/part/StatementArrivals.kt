package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Takes statements from callers; answers what needs no server. */
internal object StatementArrivals {
    fun statement(turn: Reduction, event: SessionEvent.StatementArrived) {
        val session = turn.session(event.session) ?: return
        when (val transaction = session.transaction) {
            is Transaction.Aborted -> answerAborted(turn, session, event, transaction)
            Transaction.Failed -> answerFailed(turn, session, event)
            else -> accept(turn, session, event)
        }
    }

    private fun answerAborted(
        turn: Reduction,
        session: Session,
        event: SessionEvent.StatementArrived,
        transaction: Transaction.Aborted,
    ) {
        val (next, reply) =
            when (event.statement) {
                CallerStatement.Rollback -> Transaction.None to completed(TransactionStatus.NONE)
                CallerStatement.Commit ->
                    Transaction.None to refused(transaction.kind, transaction.message, TransactionStatus.NONE)
                else ->
                    Transaction.Failed to refused(transaction.kind, transaction.message, TransactionStatus.FAILED)
            }
        answerLocally(turn, session.copy(transaction = next), event, reply)
    }

    private fun answerFailed(turn: Reduction, session: Session, event: SessionEvent.StatementArrived) {
        val ended = session.copy(transaction = Transaction.None)
        val failed = "the transaction has failed and can only be rolled back"
        when (event.statement) {
            CallerStatement.Rollback -> answerLocally(turn, ended, event, completed(TransactionStatus.NONE))
            CallerStatement.Commit ->
                answerLocally(
                    turn,
                    ended,
                    event,
                    refused(ErrorKind.TRANSACTION_ENDED, "the transaction was rolled back", TransactionStatus.NONE),
                )
            else ->
                answerLocally(
                    turn,
                    session,
                    event,
                    refused(ErrorKind.MALFORMED_REQUEST, failed, TransactionStatus.FAILED),
                )
        }
    }

    private fun accept(turn: Reduction, session: Session, event: SessionEvent.StatementArrived) {
        val status = session.transaction.status
        when (val statement = event.statement) {
            is CallerStatement.Begin -> begin(turn, session, event, statement)
            CallerStatement.Rollback -> rollback(turn, session, event)
            is CallerStatement.SetValue -> {
                val values = session.values.put(statement.name, statement.value)
                answerLocally(turn, session.copy(values = values), event, completed(status))
            }
            is CallerStatement.Prepare -> {
                val prepared = session.prepared.put(statement.name, statement.prepared)
                answerLocally(turn, session.copy(prepared = prepared), event, completed(status))
            }
            is CallerStatement.Deallocate -> {
                val prepared = session.prepared.remove(statement.name)
                answerLocally(turn, session.copy(prepared = prepared), event, completed(status))
            }
            is CallerStatement.Unknown ->
                answerLocally(turn, session, event, refused(ErrorKind.MALFORMED_REQUEST, statement.reason, status))
            CallerStatement.Commit ->
                if (status == TransactionStatus.NONE) {
                    val reason = "no transaction is open"
                    answerLocally(turn, session, event, refused(ErrorKind.MALFORMED_REQUEST, reason, status))
                } else {
                    forward(turn, session, event, Access.READ)
                }
            is CallerStatement.Run -> forward(turn, session, event, statement.access)
            is CallerStatement.Execute -> {
                val shape = session.prepared[statement.name]
                if (shape == null) {
                    val reason = "no statement is prepared as ${statement.name}"
                    answerLocally(turn, session, event, refused(ErrorKind.STATEMENT_REJECTED, reason, status))
                } else {
                    forward(turn, session, event, shape.access)
                }
            }
        }
    }

    private fun begin(
        turn: Reduction,
        session: Session,
        event: SessionEvent.StatementArrived,
        statement: CallerStatement.Begin,
    ) {
        val route = turn.state.configuration?.routes?.get(session.database)
        val status = session.transaction.status
        when {
            status != TransactionStatus.NONE -> {
                val reason = "a transaction is open already"
                answerLocally(turn, session, event, refused(ErrorKind.MALFORMED_REQUEST, reason, status))
            }
            route == null ->
                answerLocally(turn, session, event, refused(ErrorKind.UNKNOWN_DATABASE, "no such database", status))
            else -> {
                val begun = Transaction.Begun(statement.readOnly, turn.now, route)
                answerLocally(turn, session.copy(transaction = begun), event, completed(TransactionStatus.OPEN))
            }
        }
    }

    private fun rollback(turn: Reduction, session: Session, event: SessionEvent.StatementArrived) {
        val running = session.running
        answerLocally(
            turn,
            session.copy(transaction = Transaction.None),
            event,
            completed(TransactionStatus.NONE),
        )
        if (running != null) ConnectionCheckout.rollback(turn, running.connection)
    }

    private fun forward(turn: Reduction, session: Session, event: SessionEvent.StatementArrived, access: Access) {
        val route =
            when (val transaction = session.transaction) {
                is Transaction.Begun -> transaction.route
                is Transaction.Running -> transaction.begun.route
                else -> turn.state.configuration?.routes?.get(session.database)
            }
        if (route == null) {
            val status = session.transaction.status
            val reason = "no such database"
            answerLocally(turn, session, event, refused(ErrorKind.UNKNOWN_DATABASE, reason, status))
        } else {
            val pending = PendingStatement(event.identifier, event.statement, access, route, turn.now)
            val waiting = session.copy(pending = pending)
            turn.put(waiting)
            StatementDispatch.start(turn, waiting, pending)
        }
    }

    private fun answerLocally(
        turn: Reduction,
        session: Session,
        event: SessionEvent.StatementArrived,
        reply: SessionReply,
    ) {
        turn.put(session)
        SessionReplies.local(turn, session, event.identifier, reply)
    }

    private fun completed(status: TransactionStatus) = SessionReply.Completed(status = status)

    private fun refused(kind: ErrorKind, message: String, status: TransactionStatus) =
        SessionReply.Refused(kind, message, status)
}

/** The time at which a pending statement stops waiting for a connection. */
internal fun PendingStatement.waitsUntil(turn: Reduction, changing: Boolean): MonotonicTime {
    val usual = route.latencyObjective.value * turn.settings.statements.maxWaitPercent / FULL_PERCENT
    val limit = if (changing) route.statementTimeout.value else minOf(usual, route.statementTimeout.value)
    return MonotonicTime(arrivedAt.millis + limit)
}

internal const val FULL_PERCENT = 100
