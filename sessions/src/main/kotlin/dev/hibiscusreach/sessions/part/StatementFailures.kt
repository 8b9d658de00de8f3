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

/** Decides whether a failed statement is retried or its failure is returned to the caller. */
internal object StatementFailures {
    /** Refuses a pending statement that has not run. */
    fun refuse(reduction: Reduction, session: Session, pending: PendingStatement, kind: ErrorKind, message: String) =
        refuse(reduction, session, pending) { SessionReplies.refusal(reduction, it, kind, message) }

    /** Refuses a pending statement that has not run with the reply for the session after the refusal. */
    fun refuse(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        reply: (Session) -> SessionReply.Refused,
    ) {
        reduction.dequeue(pending.route.group, session.number)
        OperationAllowances.release(reduction, session.copy(pending = pending))
        val next = afterRefusal(session, pending)
        SessionReplies.answerPending(reduction, next, pending, reply(next))
    }

    /** Retries a statement outside of a running transaction, if possible at another server, or returns the failure. */
    fun retryElsewhere(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        server: ServerName,
        failed: ServerAnswer.Result.Failed,
    ) {
        val beganFirst = pending.phase is Phase.Beginning && pending.attempts == 0
        if (beganFirst) RetryBudget.recordFirst(reduction, pending.route.group)
        if (failed.failure == ServerFailure.BEHIND) ServerHealthTracking.recordLag(reduction, server)
        val safeToRetry = failed.failure.notRun || isIdempotent(session, pending)
        val mayRetry = safeToRetry && mayRetry(reduction, pending)
        if (mayRetry && RetryBudget.spend(reduction, pending.route.group, failed.failure)) {
            reduction.count(SessionCounter.RETRIES, failed.failure.name.lowercase())
            // Attempts are counted when the statement is sent; an attempt whose BEGIN failed has not been counted yet.
            val failedBegins = if (pending.phase is Phase.Beginning) 1 else 0
            val attempts = maxOf(1, pending.attempts) + failedBegins
            val next =
                pending.copy(
                    excluded = pending.excluded + server,
                    attempts = attempts,
                    reachedServer = pending.reachedServer && !failed.failure.notRun,
                )
            val sameServer = ServerSelection.needsPrimary(session, pending)
            StatementDispatch.requeue(
                reduction,
                session,
                next,
                reduction.settings.statements.retryPause.takeIf { sameServer },
            )
        } else {
            val ended = afterRefusal(session, pending)
            val status = ended.transaction.status
            val reply = SessionReply.ServerFailed(failed.code, failed.message, status, position = null)
            SessionReplies.answerPending(reduction, ended, pending, reply)
        }
    }

    /** Retries a failed statement of a running transaction on the same connection, or returns the failure. */
    fun handleInTransaction(reduction: Reduction, statement: AnsweredStatement, failed: ServerAnswer.Result.Failed) {
        val running = statement.running ?: return
        val (session, pending) = statement.session to statement.pending
        val stillOpen = statement.answer.status == TransactionStatus.OPEN
        val overloaded = failed.failure == ServerFailure.OVERLOADED
        when {
            overloaded && stillOpen && mayRetry(reduction, pending) -> {
                reduction.count(SessionCounter.RETRIES, "overloaded")
                RetryBudget.spend(reduction, pending.route.group, failed.failure)
                val at = reduction.now + reduction.settings.statements.retryPause
                val awaitingRetry = Phase.AwaitingRetry(statement.connection.number, at)
                reduction.put(session.copy(pending = pending.copy(phase = awaitingRetry)))
            }
            stillOpen && !statement.commits && !failed.failure.notRun ->
                reply(reduction, session.copy(transaction = running.copy(usedAt = reduction.now)), statement, failed)
            else -> {
                ServerAnswers.releaseConnection(reduction, statement.connection, statement.answer)
                reply(reduction, session.copy(transaction = pending.transactionAfterFailure), statement, failed)
            }
        }
    }

    /** Whether another attempt may start: attempts are left, and the statement may still wait for a connection. */
    fun mayRetry(reduction: Reduction, pending: PendingStatement): Boolean {
        val changing = PrimaryStatus.isChanging(reduction.group(pending.route.group))
        return pending.attempts < reduction.settings.statements.maxAttempts &&
            reduction.now < ConnectionWait.deadline(reduction, pending, changing)
    }

    /** Whether the statement can safely run twice: a read outside of a running transaction. */
    fun isIdempotent(session: Session, pending: PendingStatement): Boolean =
        pending.access == Access.READ && session.transaction !is Transaction.Running

    private fun afterRefusal(session: Session, pending: PendingStatement): Session =
        when (session.transaction) {
            is Transaction.None -> session
            else -> session.copy(transaction = pending.transactionAfterFailure)
        }

    private fun reply(
        reduction: Reduction,
        session: Session,
        statement: AnsweredStatement,
        failed: ServerAnswer.Result.Failed,
    ) {
        val status = session.transaction.status
        val reply = SessionReply.ServerFailed(failed.code, failed.message, status, statement.answer.position)
        SessionReplies.answerPending(reduction, session, statement.pending, reply)
    }
}
