package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.state.CommitPosition
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Delivers what a server has carried out, and keeps the session's state up to date. */
internal object StatementCompletion {
    fun completed(turn: Reduction, statement: AnsweredStatement, result: ServerAnswer.Result.Completed) {
        countRead(turn, statement)
        val running = statement.running
        val writes = statement.pending.access == Access.WRITE
        when {
            running == null -> {
                ServerAnswers.giveBack(turn, statement.connection, statement.answer)
                deliver(turn, statement, withOwnCommit(statement, writes), result, changed = writes)
            }
            statement.commits -> {
                ServerAnswers.giveBack(turn, statement.connection, statement.answer)
                val ended = withOwnCommit(statement, running.wrote).copy(transaction = Transaction.None)
                deliver(turn, statement, ended, result, changed = running.wrote)
            }
            else -> {
                val used = running.copy(wrote = running.wrote || writes, usedAt = turn.now)
                deliver(turn, statement, statement.session.copy(transaction = used), result, changed = false)
            }
        }
    }

    // A commit whose answer comes after the primary may have been replaced may be lost with that primary.
    private fun deliver(
        turn: Reduction,
        statement: AnsweredStatement,
        session: Session,
        result: ServerAnswer.Result.Completed,
        changed: Boolean,
    ) {
        val answer = statement.answer
        val reply =
            if (changed && isDoubtful(turn, statement.pending)) {
                val message = "the primary may have been replaced before it committed"
                SessionReplies.refusal(turn, session, ErrorKind.OUTCOME_UNKNOWN, message)
            } else {
                SessionReply.Completed(answer.rows, result.proof, session.transaction.status, answer.position)
            }
        SessionReplies.pending(turn, session, statement.pending, reply)
    }

    private fun isDoubtful(turn: Reduction, pending: PendingStatement): Boolean {
        val epoch = (pending.phase as? Phase.Sent)?.epoch ?: 0
        val fence = turn.group(pending.route.group).fence
        val fenced = fence != null && fence.settled && fence.epoch > epoch
        return fenced || !PrimaryStatus.leaseHolds(turn)
    }

    private fun withOwnCommit(statement: AnsweredStatement, changed: Boolean): Session {
        val position = statement.answer.position
        return if (changed && position != null) {
            statement.session.copy(lastCommit = CommitPosition(statement.connection.group, position))
        } else {
            statement.session
        }
    }

    private fun countRead(turn: Reduction, statement: AnsweredStatement) {
        if (statement.pending.access == Access.READ && !statement.commits) {
            val primary = turn.group(statement.connection.group).record?.primary == statement.connection.server
            turn.count(SessionCounter.READS, if (primary) "primary" else "replica")
        }
    }
}
