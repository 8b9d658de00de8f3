package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.state.CommitPosition
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Handles statements that a server has completed: updates the session and answers the caller. */
internal object StatementCompletion {
    /** Answers a completed statement, and releases its connection unless a transaction stays open. */
    fun complete(reduction: Reduction, statement: AnsweredStatement, result: ServerAnswer.Result.Completed) {
        countRead(reduction, statement)
        val running = statement.running
        val writes = statement.pending.access == Access.WRITE
        when {
            running == null -> {
                ServerAnswers.releaseConnection(reduction, statement.connection, statement.answer)
                reply(reduction, statement, withLastCommit(statement, writes), result, wrote = writes)
            }
            statement.commits -> {
                ServerAnswers.releaseConnection(reduction, statement.connection, statement.answer)
                val ended = withLastCommit(statement, running.wrote).copy(transaction = Transaction.None)
                reply(reduction, statement, ended, result, wrote = running.wrote)
            }
            else -> {
                val updated = running.copy(wrote = running.wrote || writes, usedAt = reduction.now)
                reply(reduction, statement, statement.session.copy(transaction = updated), result, wrote = false)
            }
        }
    }

    // If the primary may have been replaced before the answer arrived, the commit may have been lost with it. The
    // outcome is then reported as unknown.
    private fun reply(
        reduction: Reduction,
        statement: AnsweredStatement,
        session: Session,
        result: ServerAnswer.Result.Completed,
        wrote: Boolean,
    ) {
        val answer = statement.answer
        val reply =
            if (wrote && isOutcomeUnknown(reduction, statement)) {
                val message = "the primary may have been replaced before it committed"
                SessionReplies.refusal(reduction, session, ErrorKind.OUTCOME_UNKNOWN, message)
            } else {
                SessionReply.Completed(answer.rows, result.proof, session.transaction.status, answer.position)
            }
        SessionReplies.answerPending(reduction, session, statement.pending, reply)
    }

    // The change may have ended meanwhile, and the lease may have expired and been renewed.
    private fun isOutcomeUnknown(reduction: Reduction, statement: AnsweredStatement): Boolean {
        val sent = statement.pending.phase as? Phase.Sent ?: return true
        val group = reduction.group(statement.connection.group)
        val fence = group.fence
        val fenced = fence != null && fence.settled && fence.epoch > sent.epoch
        val replaced = group.record?.term != sent.term || group.record?.primary != statement.connection.server
        return fenced || replaced || !PrimaryStatus.leaseIsValidSince(reduction, sent.sentAt)
    }

    private fun withLastCommit(statement: AnsweredStatement, wrote: Boolean): Session {
        val position = statement.answer.position
        return if (wrote && position != null) {
            statement.session.copy(lastCommit = CommitPosition(statement.connection.group, position))
        } else {
            statement.session
        }
    }

    private fun countRead(reduction: Reduction, statement: AnsweredStatement) {
        if (statement.pending.access == Access.READ && !statement.commits) {
            val primary = reduction.group(statement.connection.group).record?.primary == statement.connection.server
            reduction.count(SessionCounter.READS, if (primary) "primary" else "replica")
        }
    }
}
