package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Decides between another try and an answer when a statement fails. */
internal object StatementFailures {
    /** Refuses a pending statement that has not run. */
    fun refuse(turn: Reduction, session: Session, pending: PendingStatement, kind: ErrorKind, message: String) {
        turn.stopWaiting(pending.route.group, session.number)
        val next = afterRefusal(session, pending)
        SessionReplies.pending(turn, next, pending, SessionReplies.refusal(turn, next, kind, message))
    }

    /** Tries a statement outside of a running transaction at another server, or answers with the failure. */
    fun retryElsewhere(
        turn: Reduction,
        session: Session,
        pending: PendingStatement,
        server: ServerName,
        failed: ServerAnswer.Result.Failed,
    ) {
        if (failed.failure == ServerFailure.BEHIND) ServerHealthTracking.behind(turn, server)
        val harmless = failed.failure.notRun || isRead(session, pending)
        if (harmless && hasTime(turn, pending)) {
            turn.count(SessionCounter.RETRIES, failed.failure.name.lowercase())
            // A statement is counted when it is sent; an attempt that failed at the begin of its transaction is not.
            val failedBegins = if (pending.phase is Phase.Beginning) 1 else 0
            val attempts = maxOf(1, pending.attempts) + failedBegins
            val next = pending.copy(excluded = pending.excluded + server, attempts = attempts)
            val sameServer = ServerSelection.needsPrimary(session, pending)
            StatementDispatch.requeue(turn, session, next, turn.settings.statements.retryPause.takeIf { sameServer })
        } else {
            val ended = afterRefusal(session, pending)
            val status = ended.transaction.status
            val reply = SessionReply.ServerFailed(failed.code, failed.message, status, position = null)
            SessionReplies.pending(turn, ended, pending, reply)
        }
    }

    /** Handles a failed statement of a running transaction. */
    fun inTransaction(turn: Reduction, statement: AnsweredStatement, failed: ServerAnswer.Result.Failed) {
        val running = statement.running ?: return
        val (session, pending) = statement.session to statement.pending
        val stillOpen = statement.answer.status == TransactionStatus.OPEN
        val overloaded = failed.failure == ServerFailure.OVERLOADED
        when {
            overloaded && stillOpen && hasTime(turn, pending) -> {
                turn.count(SessionCounter.RETRIES, "overloaded")
                val at = turn.now + turn.settings.statements.retryPause
                val repeating = Phase.AwaitingRetry(statement.connection.number, at)
                turn.put(session.copy(pending = pending.copy(phase = repeating)))
            }
            stillOpen && !statement.commits && !failed.failure.notRun ->
                reply(turn, session.copy(transaction = running.copy(usedAt = turn.now)), statement, failed)
            else -> {
                ServerAnswers.giveBack(turn, statement.connection, statement.answer)
                reply(turn, session.copy(transaction = pending.transactionAfterFailure), statement, failed)
            }
        }
    }

    /** Whether another try may start: attempts are left, and the statement's time is not over. */
    fun hasTime(turn: Reduction, pending: PendingStatement): Boolean {
        val changing = PrimaryStatus.changing(turn.group(pending.route.group))
        return pending.attempts < turn.settings.statements.maxAttempts && turn.now < pending.waitsUntil(turn, changing)
    }

    /** Whether running the statement twice does no harm. */
    fun isRead(session: Session, pending: PendingStatement): Boolean =
        pending.access == Access.READ && session.transaction !is Transaction.Running

    private fun afterRefusal(session: Session, pending: PendingStatement): Session =
        when (session.transaction) {
            is Transaction.None -> session
            else -> session.copy(transaction = pending.transactionAfterFailure)
        }

    private fun reply(
        turn: Reduction,
        session: Session,
        statement: AnsweredStatement,
        failed: ServerAnswer.Result.Failed,
    ) {
        val status = session.transaction.status
        val reply = SessionReply.ServerFailed(failed.code, failed.message, status, statement.answer.position)
        SessionReplies.pending(turn, session, statement.pending, reply)
    }
}
