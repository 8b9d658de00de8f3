package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.allowance.OperationToken
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.ForwardedAnswer
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.CommitPosition
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Handles the answers of homes to forwarded statements, and the loss of the links to homes. */
internal object ForwardOutcomes {
    /** Refusals after which another home may be able to run the statement. */
    private val RETRIED_ELSEWHERE =
        setOf(ErrorKind.NO_PRIMARY, ErrorKind.SERVER_UNREACHABLE, ErrorKind.READ_TOO_OLD, ErrorKind.NO_CONFIGURATION)

    /** Passes a home's reply to the caller, or offers the statement to another home; a late answer is ignored. */
    fun answered(reduction: Reduction, event: SessionEvent.ForwardAnswered) {
        val session = reduction.session(event.session)
        val pending = session?.pending?.takeIf { it.identifier == event.identifier }
        if (session == null || pending == null || pending.phase != Phase.Forwarded(event.home)) return
        when (val answer = event.answer) {
            is ForwardedAnswer.NotServed -> {
                StatementForwarding.avoid(reduction, event.home)
                notServed(reduction, session, pending, event.home)
            }
            is ForwardedAnswer.OtherRoute -> {
                val known = reduction.state.configuration?.version ?: 0
                if (answer.version > known) ConfigurationAgreement.refresh(reduction)
                notServed(reduction, session, pending, event.home)
            }
            ForwardedAnswer.TokenExpired -> tokenExpired(reduction, session, pending)
            is ForwardedAnswer.Replied -> replied(reduction, session, pending, event.home, answer)
        }
    }

    /** Ends or retries the statements and transactions at a home to which the link is lost. */
    fun linkLost(reduction: Reduction, event: SessionEvent.HomeLinkLost) {
        reduction.log("link to home lost", "home" to event.home, "connected" to event.connected)
        StatementForwarding.avoid(reduction, event.home)
        for (session in reduction.state.active.mapNotNull { reduction.session(it) }) {
            val pending = session.pending
            when {
                pending?.phase == Phase.Forwarded(event.home) -> statementLost(reduction, session, pending, event)
                session.remote?.home == event.home -> {
                    val aborted = Transaction.Aborted(ErrorKind.TRANSACTION_ENDED, TRANSACTION_LOST)
                    reduction.put(session.copy(transaction = aborted))
                }
            }
        }
    }

    // Takes another token and forwards the statement again. The attempt does not count: the home has tried no server.
    private fun tokenExpired(reduction: Reduction, session: Session, pending: PendingStatement) {
        val expired = pending.copy(token = OperationToken(reduction.now), attempts = pending.attempts - 1)
        StatementDispatch.requeue(reduction, session, expired)
    }

    private fun replied(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        home: Endpoint,
        answer: ForwardedAnswer.Replied,
    ) {
        val refused = answer.reply as? SessionReply.Refused
        val elsewhere = refused != null && refused.kind in RETRIED_ELSEWHERE && session.remote == null
        if (elsewhere && tryElsewhere(reduction, session, pending, home)) return
        val commit = answer.lastCommit?.let { CommitPosition(pending.route.group, it) }
        val next =
            session.copy(
                lastCommit = commit ?: session.lastCommit,
                transaction = transactionAfter(session, pending, home, answer.reply),
            )
        SessionReplies.answerPending(reduction, next, pending, answer.reply)
    }

    private fun transactionAfter(
        session: Session,
        pending: PendingStatement,
        home: Endpoint,
        reply: SessionReply,
    ): Transaction =
        when (reply.status) {
            TransactionStatus.NONE -> Transaction.None
            TransactionStatus.FAILED -> Transaction.Failed
            TransactionStatus.OPEN -> {
                val begun = session.remote?.begun ?: session.transaction as? Transaction.Begun
                val wrote = session.remote?.wrote == true || pending.access == Access.WRITE
                begun?.let { Transaction.Remote(it, home, wrote) } ?: Transaction.Failed
            }
        }

    private fun notServed(reduction: Reduction, session: Session, pending: PendingStatement, home: Endpoint) {
        when {
            session.remote != null -> endTransaction(reduction, session, pending, ErrorKind.TRANSACTION_ENDED)
            tryElsewhere(reduction, session, pending, home) -> Unit
            else -> {
                val waiting = pending.copy(excludedHomes = emptySet())
                StatementDispatch.requeue(reduction, session, waiting, reduction.settings.homes.retryPause)
            }
        }
    }

    private fun statementLost(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        event: SessionEvent.HomeLinkLost,
    ) {
        val remote = session.remote
        val mayHaveRun = event.connected && pending.access == Access.WRITE
        val mayHaveCommitted = event.connected && pending.commits && remote?.wrote == true
        when {
            mayHaveCommitted -> endTransaction(reduction, session, pending, ErrorKind.OUTCOME_UNKNOWN)
            remote != null -> endTransaction(reduction, session, pending, ErrorKind.TRANSACTION_ENDED)
            // The home rolls a transaction back that it opened for the statement.
            mayHaveRun && session.transaction is Transaction.Begun ->
                endTransaction(reduction, session, pending, ErrorKind.TRANSACTION_ENDED)
            mayHaveRun -> {
                val message = "the link to the home was lost before the write was answered"
                val reply = SessionReplies.refusal(reduction, session, ErrorKind.OUTCOME_UNKNOWN, message)
                SessionReplies.answerPending(reduction, session, pending, reply)
            }
            tryElsewhere(reduction, session, pending, event.home) -> Unit
            else -> {
                val waiting = pending.copy(excludedHomes = emptySet())
                StatementDispatch.requeue(reduction, session, waiting, reduction.settings.homes.retryPause)
            }
        }
    }

    // Returns false if no further home is left or the statement has been tried too often.
    private fun tryElsewhere(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        home: Endpoint
    ): Boolean {
        val next = pending.copy(excludedHomes = pending.excludedHomes + home)
        // A home that forwarded the statement because another one is preferred for the tenant can still run it.
        val mayRunHere = pending.tenant != null && GroupHomes.isHome(reduction, pending.route.group)
        val isLast = !mayRunHere && StatementForwarding.candidates(reduction, next).isEmpty()
        if (isLast || !StatementFailures.mayRetry(reduction, pending)) return false
        reduction.count(SessionCounter.RETRIES, "other-home")
        StatementDispatch.requeue(reduction, session, next)
        return true
    }

    private fun endTransaction(reduction: Reduction, session: Session, pending: PendingStatement, kind: ErrorKind) {
        val next = session.copy(transaction = pending.transactionAfterFailure)
        val reply = SessionReplies.refusal(reduction, next, kind, TRANSACTION_LOST)
        SessionReplies.answerPending(reduction, next, pending, reply)
    }

    private const val TRANSACTION_LOST = "the link to the transaction's home was lost"
}
