package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.state.OutstandingStatement

/**
 * Rejects reads that were sent to the primary, but ran at a server whose log has a later term than the group's record:
 * another server has been promoted, and its commits may be missing there.
 */
internal object PrimaryTermCheck {
    /** Whether the answer is one to a read that must be rejected. Writes have an outcome that cannot be taken back. */
    fun isOutdated(reduction: Reduction, statement: AnsweredStatement, sent: OutstandingStatement): Boolean {
        val isRead = statement.pending.access == Access.READ && !statement.commits
        val known = reduction.group(statement.connection.group).record?.term
        val term = statement.answer.position?.term
        return sent.toPrimary && isRead && known != null && term != null && term > known
    }

    /** Reads the records again, and repeats the read unless it belongs to a transaction, which is ended. */
    fun reject(reduction: Reduction, statement: AnsweredStatement) {
        val connection = statement.connection
        reduction.log(
            "read ran at a replaced primary",
            "request" to statement.pending.identifier,
            "server" to connection.server,
            "position" to statement.answer.position,
            "term" to reduction.group(connection.group).record?.term,
        )
        reduction.count(SessionCounter.RETRIES, "replaced")
        reduction.updateHealth(connection.server) { it.copy(notPrimaryAt = reduction.now) }
        if (!reduction.state.fleet.reading) LeaseRenewal.read(reduction)
        ServerAnswers.releaseConnection(reduction, connection, statement.answer)
        val (session, pending) = statement.session to statement.pending
        when {
            statement.running != null -> {
                val next = session.copy(transaction = pending.transactionAfterFailure)
                val message = "the transaction's server is no longer the primary"
                val reply = SessionReplies.refusal(reduction, next, ErrorKind.TRANSACTION_ENDED, message)
                SessionReplies.answerPending(reduction, next, pending, reply)
            }
            StatementFailures.mayRetry(reduction, pending) ->
                StatementDispatch.requeue(reduction, session, pending, reduction.settings.statements.retryPause)
            else -> {
                val message = "the server that ran the read is no longer the primary"
                StatementFailures.refuse(reduction, session, pending, ErrorKind.READ_TOO_OLD, message)
            }
        }
    }
}
