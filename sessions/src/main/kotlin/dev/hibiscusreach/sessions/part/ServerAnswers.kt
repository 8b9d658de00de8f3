package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.OutstandingStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Transaction

/** Handles answers that servers send on pooled connections. */
internal object ServerAnswers {
    /** Matches the answer to the oldest outstanding statement of its connection. */
    fun handle(reduction: Reduction, event: SessionEvent.ServerAnswered) {
        val before = reduction.state.connections[event.connection] ?: return
        val first = before.outstanding.firstOrNull()
        if (first == null) {
            reduction.log("unexpected answer", "server" to before.server, "connection" to before.number.value)
            ServerConnectionEvents.closeBroken(reduction, before)
        } else {
            val connection = before.copy(outstanding = before.outstanding.removeAt(0))
            ConnectionPools.put(reduction, connection)
            ServerHealthTracking.recordAnswer(reduction, connection.server)
            recordServerState(reduction, connection, first, event.answer)
            ServerLoads.recordAnswer(reduction, connection, first, event.answer)
            handle(reduction, connection, first, event.answer)
            StatementDispatch.serveWaiting(reduction, connection.group)
        }
    }

    /** Returns the connection to its pool. A transaction that is still open at the server is rolled back. */
    fun releaseConnection(reduction: Reduction, connection: ServerConnection, answer: ServerAnswer) {
        val isOpen = answer.status != TransactionStatus.NONE
        if (isOpen) {
            ConnectionCheckout.rollback(reduction, connection.number)
        } else {
            ConnectionCheckout.release(reduction, connection.number)
        }
    }

    private fun handle(
        reduction: Reduction,
        connection: ServerConnection,
        sent: OutstandingStatement,
        answer: ServerAnswer,
    ) {
        when (sent.purpose) {
            Purpose.SETUP -> setupAnswered(reduction, connection, answer)
            Purpose.ROLLBACK ->
                if (answer.status != TransactionStatus.NONE) ConnectionPools.close(reduction, connection)
            Purpose.PROBE -> Unit
            Purpose.BEGIN -> transactionBegun(reduction, connection, answer)
            Purpose.CALLER -> statementAnswered(reduction, connection, sent, answer)
        }
    }

    private fun recordServerState(
        reduction: Reduction,
        connection: ServerConnection,
        sent: OutstandingStatement,
        answer: ServerAnswer,
    ) {
        val position = answer.position
        if (sent.toPrimary && position != null) {
            PrimaryStatus.recordHead(reduction, connection.group, sent.sentAt, position)
        }
        val failure = (answer.result as? ServerAnswer.Result.Failed)?.failure
        if (failure == ServerFailure.NOT_PRIMARY) {
            reduction.updateHealth(connection.server) { it.copy(notPrimaryAt = reduction.now) }
        }
    }

    // A failed setup counts as an attempt, because it is repeated without a pause.
    private fun setupAnswered(reduction: Reduction, connection: ServerConnection, answer: ServerAnswer) {
        val result = answer.result
        if (result is ServerAnswer.Result.Failed) {
            reduction.log("session setup failed", "server" to connection.server, "code" to result.code)
            val session = connection.heldBy?.let { reduction.session(it) }
            val pending = session?.pending
            if (pending != null) {
                if (pending.attempts == 0) RetryBudget.recordFirst(reduction, pending.route.group)
                reduction.put(session.copy(pending = pending.copy(attempts = pending.attempts + 1)))
            }
            ServerConnectionEvents.closeAfterFailedSetup(reduction, connection)
        } else if (connection.outstanding.isEmpty()) {
            StatementSending.sendAfterSetup(reduction, connection)
        }
    }

    private fun transactionBegun(reduction: Reduction, connection: ServerConnection, answer: ServerAnswer) {
        val session = connection.heldBy?.let { reduction.session(it) }
        val pending = session?.pending
        val begun = session?.transaction as? Transaction.Begun
        if (session == null || pending == null || begun == null) return
        when (val result = answer.result) {
            is ServerAnswer.Result.Completed -> {
                val running = Transaction.Running(begun, connection.number, wrote = false, usedAt = reduction.now)
                val next = session.copy(transaction = running)
                reduction.put(next)
                StatementSending.sendInTransaction(reduction, next, pending, running)
            }
            is ServerAnswer.Result.Failed -> {
                releaseConnection(reduction, connection, answer)
                StatementFailures.retryElsewhere(reduction, session, pending, connection.server, result)
            }
        }
    }

    private fun statementAnswered(
        reduction: Reduction,
        connection: ServerConnection,
        sent: OutstandingStatement,
        answer: ServerAnswer,
    ) {
        val session = connection.heldBy?.let { reduction.session(it) }
        val pending = session?.pending
        if (session == null || pending == null) {
            releaseConnection(reduction, connection, answer)
            return
        }
        val statement = AnsweredStatement(connection, session, pending, answer)
        when (val result = answer.result) {
            is ServerAnswer.Result.Completed -> {
                ServerHealthTracking.recordLatency(reduction, connection.server, reduction.now - sent.sentAt)
                if (PrimaryTermCheck.isOutdated(reduction, statement, sent)) {
                    PrimaryTermCheck.reject(reduction, statement)
                } else {
                    StatementCompletion.complete(reduction, statement, result)
                }
            }
            is ServerAnswer.Result.Failed ->
                if (statement.running == null) {
                    releaseConnection(reduction, connection, answer)
                    StatementFailures.retryElsewhere(reduction, session, pending, connection.server, result)
                } else {
                    StatementFailures.handleInTransaction(reduction, statement, result)
                }
        }
    }
}
