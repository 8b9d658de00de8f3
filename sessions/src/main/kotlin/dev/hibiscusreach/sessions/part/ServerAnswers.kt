package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.OutstandingStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Transaction

/** Handles the answers of servers on pooled connections. */
internal object ServerAnswers {
    fun handle(turn: Reduction, event: SessionEvent.ServerAnswered) {
        val before = turn.state.connections[event.connection] ?: return
        val first = before.outstanding.firstOrNull()
        if (first == null) {
            turn.log("unexpected answer", "server" to before.server, "connection" to before.number.value)
            ServerConnectionEvents.closeBroken(turn, before)
        } else {
            val connection = before.copy(outstanding = before.outstanding.removeAt(0))
            ConnectionPools.put(turn, connection)
            ServerHealthTracking.answered(turn, connection.server)
            learn(turn, connection, first, event.answer)
            handle(turn, connection, first, event.answer)
            StatementDispatch.serveWaiting(turn, connection.group)
        }
    }

    /** Takes the connection back; a transaction that the server still holds open is rolled back. */
    fun giveBack(turn: Reduction, connection: ServerConnection, answer: ServerAnswer) {
        val open = answer.status != TransactionStatus.NONE
        if (open) {
            ConnectionCheckout.rollback(turn, connection.number)
        } else {
            ConnectionCheckout.release(turn, connection.number)
        }
    }

    private fun handle(
        turn: Reduction,
        connection: ServerConnection,
        sent: OutstandingStatement,
        answer: ServerAnswer,
    ) {
        when (sent.purpose) {
            Purpose.SETUP ->
                if (answer.result is ServerAnswer.Result.Failed) ServerConnectionEvents.closeBroken(turn, connection)
            Purpose.ROLLBACK -> if (answer.status != TransactionStatus.NONE) ConnectionPools.close(turn, connection)
            Purpose.PROBE -> Unit
            Purpose.BEGIN -> begun(turn, connection, answer)
            Purpose.CALLER -> answered(turn, connection, sent, answer)
        }
    }

    private fun learn(turn: Reduction, connection: ServerConnection, sent: OutstandingStatement, answer: ServerAnswer) {
        val position = answer.position
        if (sent.toPrimary && position != null) PrimaryStatus.sampled(turn, connection.group, sent.sentAt, position)
        val failure = (answer.result as? ServerAnswer.Result.Failed)?.failure
        if (failure == ServerFailure.NOT_PRIMARY) {
            turn.updateHealth(connection.server) { it.copy(notPrimaryAt = turn.now) }
        }
    }

    private fun begun(turn: Reduction, connection: ServerConnection, answer: ServerAnswer) {
        val session = connection.heldBy?.let { turn.session(it) }
        val pending = session?.pending
        val begun = session?.transaction as? Transaction.Begun
        if (session == null || pending == null || begun == null) return
        when (val result = answer.result) {
            is ServerAnswer.Result.Completed -> {
                val running = Transaction.Running(begun, connection.number, wrote = false, usedAt = turn.now)
                val next = session.copy(transaction = running)
                turn.put(next)
                StatementSending.inTransaction(turn, next, pending, running)
            }
            is ServerAnswer.Result.Failed -> {
                giveBack(turn, connection, answer)
                StatementFailures.retryElsewhere(turn, session, pending, connection.server, result)
            }
        }
    }

    private fun answered(
        turn: Reduction,
        connection: ServerConnection,
        sent: OutstandingStatement,
        answer: ServerAnswer,
    ) {
        val session = connection.heldBy?.let { turn.session(it) }
        val pending = session?.pending
        if (session == null || pending == null) {
            giveBack(turn, connection, answer)
            return
        }
        val statement = AnsweredStatement(connection, session, pending, answer)
        when (val result = answer.result) {
            is ServerAnswer.Result.Completed -> {
                ServerHealthTracking.latency(turn, connection.server, turn.now - sent.sentAt)
                StatementCompletion.completed(turn, statement, result)
            }
            is ServerAnswer.Result.Failed ->
                if (statement.running == null) {
                    giveBack(turn, connection, answer)
                    StatementFailures.retryElsewhere(turn, session, pending, connection.server, result)
                } else {
                    StatementFailures.inTransaction(turn, statement, result)
                }
        }
    }
}
