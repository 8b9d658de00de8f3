package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.Outstanding
import dev.hibiscusreach.sessions.state.Outstanding.Purpose
import dev.hibiscusreach.sessions.state.OwnCommit
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Handles the answers of servers on pooled connections. */
internal object Answers {
    fun handle(turn: Turn, event: SessionEvent.ServerAnswered) {
        val before = turn.state.connections[event.connection] ?: return
        val first = before.outstanding.firstOrNull()
        if (first == null) {
            turn.log("unexpected answer", "server" to before.server, "connection" to before.number.value)
            Losses.closeBroken(turn, before)
            return
        }
        val connection = before.copy(outstanding = before.outstanding.removeAt(0))
        Pools.put(turn, connection)
        Pools.markAnswered(turn, connection.server)
        learnPosition(turn, connection, first, event.answer)
        when (first.purpose) {
            Purpose.SETUP -> if (failed(event.answer)) Losses.closeBroken(turn, connection)
            Purpose.ROLLBACK -> if (event.answer.status != TransactionStatus.NONE) Pools.close(turn, connection)
            Purpose.PROBE -> Unit
            Purpose.BEGIN -> begun(turn, connection, event.answer)
            Purpose.CALLER -> answered(turn, connection, first, event.answer)
        }
        Dispatch.serveWaiting(turn, connection.group)
    }

    private fun learnPosition(turn: Turn, connection: ServerConnection, sent: Outstanding, answer: ServerAnswer) {
        val position = answer.position
        if (sent.toPrimary && position != null) Primaries.sampled(turn, connection.group, sent.sentAt, position)
        val failure = (answer.result as? ServerAnswer.Result.Failed)?.failure
        if (failure == ServerFailure.NOT_PRIMARY) {
            turn.updateHealth(connection.server) { it.copy(notPrimaryAt = turn.now) }
        }
    }

    private fun failed(answer: ServerAnswer) = answer.result is ServerAnswer.Result.Failed

    private fun begun(turn: Turn, connection: ServerConnection, answer: ServerAnswer) {
        val session = connection.heldBy?.let { turn.session(it) }
        val pending = session?.pending
        val begun = session?.transaction as? Transaction.Begun
        if (session == null || pending == null || begun == null) return
        when (val result = answer.result) {
            is ServerAnswer.Result.Completed -> {
                val running = Transaction.Running(begun, connection.number, wrote = false, usedAt = turn.now)
                val next = session.copy(transaction = running)
                turn.put(next)
                Dispatch.sendInTransaction(turn, next, pending, running)
            }
            is ServerAnswer.Result.Failed -> {
                giveBack(turn, connection, answer)
                Failures.retryElsewhere(turn, session, pending, connection.server, result)
            }
        }
    }

    private fun answered(turn: Turn, connection: ServerConnection, sent: Outstanding, answer: ServerAnswer) {
        val session = connection.heldBy?.let { turn.session(it) }
        val pending = session?.pending
        if (session == null || pending == null) {
            giveBack(turn, connection, answer)
            return
        }
        val running = session.transaction as? Transaction.Running
        when (val result = answer.result) {
            is ServerAnswer.Result.Completed -> {
                Pools.markLatency(turn, connection.server, turn.now - sent.sentAt)
                countRead(turn, connection, pending)
                if (running == null) single(turn, connection, session, pending, answer, result)
                else inTransaction(turn, connection, session, pending, answer, result, running)
            }
            is ServerAnswer.Result.Failed ->
                if (running == null) {
                    giveBack(turn, connection, answer)
                    Failures.retryElsewhere(turn, session, pending, connection.server, result)
                } else {
                    Failures.inTransaction(turn, connection, session, pending, answer, result, running)
                }
        }
    }

    private fun single(
        turn: Turn,
        connection: ServerConnection,
        session: Session,
        pending: PendingStatement,
        answer: ServerAnswer,
        result: ServerAnswer.Result.Completed,
    ) {
        giveBack(turn, connection, answer)
        val writes = pending.access == Access.WRITE
        deliver(turn, ownCommit(session, connection, answer, writes), pending, answer, result, writes)
    }

    private fun inTransaction(
        turn: Turn,
        connection: ServerConnection,
        session: Session,
        pending: PendingStatement,
        answer: ServerAnswer,
        result: ServerAnswer.Result.Completed,
        running: Transaction.Running,
    ) {
        if (pending.statement is CallerStatement.Commit) {
            giveBack(turn, connection, answer)
            val ended = ownCommit(session, connection, answer, running.wrote).copy(transaction = Transaction.None)
            deliver(turn, ended, pending, answer, result, running.wrote)
        } else {
            val wrote = running.wrote || pending.access == Access.WRITE
            val next = session.copy(transaction = running.copy(wrote = wrote, usedAt = turn.now))
            deliver(turn, next, pending, answer, result, commits = false)
        }
    }

    // A commit whose answer comes after the primary may have been replaced may be lost with that primary.
    private fun deliver(
        turn: Turn,
        session: Session,
        pending: PendingStatement,
        answer: ServerAnswer,
        result: ServerAnswer.Result.Completed,
        commits: Boolean,
    ) {
        val reply =
            if (commits && isDoubtful(turn, pending)) {
                val message = "the primary may have been replaced before it committed"
                Replies.refusal(turn, session, ErrorKind.OUTCOME_UNKNOWN, message)
            } else {
                SessionReply.Completed(answer.rows, result.proof, session.transaction.status, answer.position)
            }
        Replies.pending(turn, session, pending, reply)
    }

    private fun isDoubtful(turn: Turn, pending: PendingStatement): Boolean {
        val epoch = (pending.phase as? Phase.Sent)?.epoch ?: 0
        val group = turn.group(pending.route.group)
        val fenced = group.fence?.let { it.settled && it.epoch > epoch } ?: false
        return fenced || !Primaries.leaseHolds(turn)
    }

    private fun ownCommit(session: Session, connection: ServerConnection, answer: ServerAnswer, wrote: Boolean) =
        if (wrote && answer.position != null) {
            session.copy(ownCommit = OwnCommit(connection.group, answer.position))
        } else {
            session
        }

    /** Takes the connection back; a transaction that the server still holds open is rolled back. */
    internal fun giveBack(turn: Turn, connection: ServerConnection, answer: ServerAnswer) {
        val open = answer.status != TransactionStatus.NONE
        if (open) Pools.rollback(turn, connection.number) else Pools.release(turn, connection.number)
    }

    private fun countRead(turn: Turn, connection: ServerConnection, pending: PendingStatement) {
        if (pending.access == Access.READ && pending.statement !is CallerStatement.Commit) {
            val primary = turn.group(connection.group).record?.primary == connection.server
            turn.count(SessionCounter.READS, if (primary) "primary" else "replica")
        }
    }
}
