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

/** Accepts statements from callers. Statements that need no server are answered here; the rest are dispatched. */
internal object StatementArrivals {
    /** Answers or dispatches a statement according to the state of the session's transaction. */
    fun statementArrived(reduction: Reduction, event: SessionEvent.StatementArrived) {
        val arrived = reduction.session(event.session) ?: return LateArrivals.refuseOfClosedSession(reduction, event)
        val isRefusing = LateArrivals.isRefusing(reduction)
        val session = if (isRefusing) LateArrivals.withoutTransaction(reduction, arrived) else arrived
        when (val transaction = session.transaction) {
            is Transaction.Aborted -> answerAborted(reduction, session, event, transaction)
            Transaction.Failed -> answerFailed(reduction, session, event)
            else -> accept(reduction, session, event)
        }
    }

    private fun answerAborted(
        reduction: Reduction,
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
        answerLocally(reduction, session.copy(transaction = next), event, reply)
    }

    private fun answerFailed(reduction: Reduction, session: Session, event: SessionEvent.StatementArrived) {
        val ended = session.copy(transaction = Transaction.None)
        val reason = "the transaction has failed and can only be rolled back"
        when (event.statement) {
            CallerStatement.Rollback -> answerLocally(reduction, ended, event, completed(TransactionStatus.NONE))
            CallerStatement.Commit ->
                answerLocally(
                    reduction,
                    ended,
                    event,
                    refused(ErrorKind.TRANSACTION_ENDED, "the transaction was rolled back", TransactionStatus.NONE),
                )
            else ->
                answerLocally(
                    reduction,
                    session,
                    event,
                    refused(ErrorKind.MALFORMED_REQUEST, reason, TransactionStatus.FAILED),
                )
        }
    }

    private fun accept(reduction: Reduction, session: Session, event: SessionEvent.StatementArrived) {
        val status = session.transaction.status
        when (val statement = event.statement) {
            is CallerStatement.Begin -> begin(reduction, session, event, statement)
            CallerStatement.Rollback -> rollback(reduction, session, event)
            is CallerStatement.SetValue ->
                KeptState.answer(reduction, session, event, KeptState.set(reduction.state, session, statement))
            is CallerStatement.Prepare ->
                KeptState.answer(reduction, session, event, KeptState.prepare(reduction.state, session, statement))
            is CallerStatement.Deallocate ->
                answerLocally(reduction, KeptState.deallocate(session, statement.name), event, completed(status))
            is CallerStatement.Dropped -> DroppedStatements.refuse(reduction, session, event.identifier, statement)
            is CallerStatement.Unknown ->
                answerLocally(reduction, session, event, refused(ErrorKind.MALFORMED_REQUEST, statement.reason, status))
            CallerStatement.Commit ->
                if (status == TransactionStatus.NONE) {
                    val reason = "no transaction is open"
                    answerLocally(reduction, session, event, refused(ErrorKind.MALFORMED_REQUEST, reason, status))
                } else {
                    forward(reduction, session, event, Access.READ)
                }
            is CallerStatement.Run -> forward(reduction, session, event, statement.access)
            is CallerStatement.Execute -> {
                val prepared = session.prepared[statement.name]
                if (prepared == null) {
                    val reason = "no statement is prepared as ${statement.name}"
                    answerLocally(reduction, session, event, refused(ErrorKind.STATEMENT_REJECTED, reason, status))
                } else {
                    forward(reduction, session, event, prepared.access)
                }
            }
        }
    }

    private fun begin(
        reduction: Reduction,
        session: Session,
        event: SessionEvent.StatementArrived,
        statement: CallerStatement.Begin,
    ) {
        val route = reduction.state.configuration?.routes?.get(session.database)
        val status = session.transaction.status
        when {
            status != TransactionStatus.NONE -> {
                val reason = "a transaction is already open"
                answerLocally(reduction, session, event, refused(ErrorKind.MALFORMED_REQUEST, reason, status))
            }
            LateArrivals.isRefusing(reduction) ->
                LateArrivals.refuseStatement(reduction, session, event.identifier)
            route == null ->
                answerLocally(
                    reduction,
                    session,
                    event,
                    refused(ErrorKind.UNKNOWN_DATABASE, "no such database", status),
                )
            else ->
                when (val decision = CallerAdmission.decide(reduction, route, session)) {
                    is CallerDecision.Refused -> refuseCaller(reduction, session, event, decision.reason)
                    is CallerDecision.Admitted -> {
                        val begun = Transaction.Begun(statement.readOnly, reduction.now, route, decision.tenant)
                        val open = session.copy(transaction = begun)
                        answerLocally(reduction, open, event, completed(TransactionStatus.OPEN))
                    }
                }
        }
    }

    private fun rollback(reduction: Reduction, session: Session, event: SessionEvent.StatementArrived) {
        val running = session.running
        answerLocally(
            reduction,
            session.copy(transaction = Transaction.None),
            event,
            completed(TransactionStatus.NONE),
        )
        if (running != null) ConnectionCheckout.rollback(reduction, running.connection)
        session.remote?.let { StatementForwarding.rollback(reduction, session, it) }
    }

    private fun forward(reduction: Reduction, session: Session, event: SessionEvent.StatementArrived, access: Access) {
        val route =
            session.transaction.begun?.route
                ?: session.forwardedRoute
                ?: reduction.state.configuration?.routes?.get(session.database)
        if (LateArrivals.isRefusing(reduction)) {
            LateArrivals.refuseStatement(reduction, session, event.identifier)
        } else if (route == null) {
            val status = session.transaction.status
            val reason = "no such database"
            answerLocally(reduction, session, event, refused(ErrorKind.UNKNOWN_DATABASE, reason, status))
        } else {
            when (val decision = CallerAdmission.decide(reduction, route, session)) {
                is CallerDecision.Refused -> refuseCaller(reduction, session, event, decision.reason)
                is CallerDecision.Admitted -> {
                    val arrivedAt = reduction.now - event.waited
                    val pending =
                        PendingStatement(event.identifier, event.statement, access, route, decision.tenant, arrivedAt)
                    val waiting = session.copy(pending = pending)
                    reduction.put(waiting)
                    StatementDispatch.start(reduction, waiting, pending)
                }
            }
        }
    }

    private fun refuseCaller(
        reduction: Reduction,
        session: Session,
        event: SessionEvent.StatementArrived,
        reason: CallerRefusal,
    ) {
        val next = CallerAdmission.recordRefusal(reduction, session, reason)
        val ended =
            when {
                next.transaction is Transaction.None -> next
                event.statement is CallerStatement.Commit -> next.copy(transaction = Transaction.None)
                else -> next.copy(transaction = Transaction.Failed)
            }
        answerLocally(reduction, ended, event, SessionReplies.refusal(reduction, ended, reason.kind, reason.message))
    }

    private fun answerLocally(
        reduction: Reduction,
        session: Session,
        event: SessionEvent.StatementArrived,
        reply: SessionReply,
    ) {
        reduction.put(session.copy(idleSince = reduction.now))
        SessionReplies.answerLocally(reduction, session, event.identifier, reply)
    }
}

private fun completed(status: TransactionStatus) = SessionReply.Completed(status = status)

private fun refused(kind: ErrorKind, message: String, status: TransactionStatus) =
    SessionReply.Refused(kind, message, status)

/**
 * The time until which a pending statement may wait for a connection. During a primary change the limit is the
 * statement timeout; otherwise it is a share of the latency objective, but no longer than the statement timeout.
 */
internal fun PendingStatement.waitDeadline(reduction: Reduction, primaryChanging: Boolean): MonotonicTime {
    val objectiveShare = route.latencyObjective.value * reduction.settings.statements.maxWaitPercent / FULL_PERCENT
    val limit =
        if (primaryChanging) route.statementTimeout.value else minOf(objectiveShare, route.statementTimeout.value)
    return MonotonicTime(arrivedAt.millis + limit)
}

internal const val FULL_PERCENT = 100
