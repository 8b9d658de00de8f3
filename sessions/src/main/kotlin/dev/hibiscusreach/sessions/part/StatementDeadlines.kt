package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Ends statements and transactions that exceed their time limits, and retries statements whose retry is due. */
internal object StatementDeadlines {
    /** Checks the time limits of all active sessions, then dispatches waiting statements. */
    fun enforce(reduction: Reduction) {
        SessionLifecycle.review(reduction)
        for (number in reduction.state.active) {
            val session = reduction.session(number) ?: continue
            val pending = session.pending
            if (pending == null) checkIdle(reduction, session) else checkPending(reduction, session, pending)
        }
        TokenExchange.review(reduction)
        reduction.state.waiting.keys
            .forEach { StatementDispatch.serveWaiting(reduction, it) }
    }

    /** Ends a running transaction between two statements. The caller gets [message] at its next statement. */
    fun endTransaction(reduction: Reduction, session: Session, message: String) {
        session.running?.let { ConnectionCheckout.rollback(reduction, it.connection) }
        session.remote?.let { StatementForwarding.rollback(reduction, session, it) }
        reduction.log("transaction ended", "session" to session.number.value, "reason" to message)
        reduction.put(session.copy(transaction = Transaction.Aborted(ErrorKind.TRANSACTION_ENDED, message)))
    }

    private fun checkIdle(reduction: Reduction, session: Session) {
        val running = session.running ?: return
        val limit = reduction.state.configuration?.transactionIdleLimit ?: return
        if (reduction.now - running.usedAt > limit) {
            endTransaction(reduction, session, "the transaction was idle for too long")
        }
    }

    private fun checkPending(reduction: Reduction, session: Session, pending: PendingStatement) {
        when (val phase = pending.phase) {
            Phase.AwaitingAllowance -> AllowanceRefusals.checkWaiting(reduction, session, pending)
            is Phase.Waiting -> checkWaiting(reduction, session, pending)
            is Phase.SettingUp -> checkSent(reduction, session, pending)
            is Phase.Beginning -> checkSent(reduction, session, pending)
            is Phase.Sent -> checkSent(reduction, session, pending)
            is Phase.Forwarded -> StatementForwarding.checkTimeout(reduction, session, pending, phase)
            is Phase.AwaitingRetry -> {
                val running = session.running
                if (running != null && reduction.now >= phase.at) {
                    StatementSending.sendInTransaction(reduction, session, pending, running)
                }
            }
        }
    }

    private fun checkWaiting(reduction: Reduction, session: Session, pending: PendingStatement) {
        val group = reduction.group(pending.route.group)
        // While no connection can be had the queue is not served, which would find this too.
        val isOutdated = pending.tenant != null && ConfigurationAgreement.isOutdated(reduction, session, pending)
        if (isOutdated) return ConfigurationAgreement.reroute(reduction, session, pending)
        if (reduction.now < ConnectionWait.deadline(reduction, pending, PrimaryStatus.isChanging(group))) return
        val needsPrimary = ServerSelection.needsPrimary(session, pending)
        val (kind, message) =
            when {
                needsPrimary && PrimaryStatus.usablePrimary(reduction, group) == null ->
                    ErrorKind.NO_PRIMARY to "no primary became available in time"
                !needsPrimary && PrimaryStatus.minimumPosition(reduction, session, pending) == null ->
                    ErrorKind.READ_TOO_OLD to "no server is known to be fresh enough"
                else -> ErrorKind.OVERLOADED to "no connection became free in time"
            }
        if (TenantPools.apply(reduction)) reduction.count(SessionCounter.WAITS, "refused")
        StatementFailures.refuse(reduction, session, pending, kind, message)
    }

    private fun checkSent(reduction: Reduction, session: Session, pending: PendingStatement) {
        val connection = ConnectionCheckout.connectionOf(pending)?.let { reduction.state.connections[it] } ?: return
        val expired = reduction.now - pending.arrivedAt > pending.route.statementTimeout
        when {
            expired -> expire(reduction, session, pending, connection.server)
            StatementFailures.isIdempotent(session, pending) && isSilent(reduction, connection.server, pending) ->
                ServerConnectionEvents.closeBroken(reduction, connection)
        }
    }

    // A server that was already silent when the statement was sent still gets the full silence timeout.
    private fun isSilent(reduction: Reduction, server: ServerName, pending: PendingStatement): Boolean {
        if (pending.phase is Phase.Beginning) return false
        return ServerHealthTracking.isSilent(reduction, server) && isOverdue(reduction, pending)
    }

    // A server that had less time than the silence timeout has not failed.
    private fun isOverdue(reduction: Reduction, pending: PendingStatement): Boolean {
        val sentAt =
            when (val phase = pending.phase) {
                is Phase.Sent -> phase.sentAt
                is Phase.SettingUp -> phase.sentAt
                is Phase.Beginning -> phase.sentAt
                is Phase.Waiting, is Phase.Forwarded, is Phase.AwaitingRetry, Phase.AwaitingAllowance -> return false
            }
        return reduction.now - sentAt > reduction.settings.statements.silenceTimeout
    }

    private fun expire(reduction: Reduction, session: Session, pending: PendingStatement, server: ServerName) {
        ConnectionCheckout
            .connectionOf(pending)
            ?.let { reduction.state.connections[it] }
            ?.let { ConnectionPools.close(reduction, it) }
        if (isOverdue(reduction, pending)) OutlierEjection.recordFailure(reduction, server)
        answerExpired(reduction, session, pending, "server $server did not answer in time")
    }

    /** Answers a statement whose time limit has passed after it was sent; a write may have run. */
    fun answerExpired(reduction: Reduction, session: Session, pending: PendingStatement, message: String) {
        val commits = pending.commits
        val holdsTransaction = session.running != null || session.remote != null
        val wrote = session.running?.wrote ?: session.remote?.wrote ?: false
        val writes = if (commits) wrote else !holdsTransaction && pending.access == Access.WRITE
        val kind = if (writes && !pending.isBeingSetUp) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.DEADLINE_EXCEEDED
        reduction.log("statement timed out", "request" to pending.identifier, "reason" to message)
        val inTransaction = session.transaction !is Transaction.None
        val ended = if (inTransaction && !commits) Transaction.Failed else Transaction.None
        val next = session.copy(transaction = ended)
        val reply = SessionReplies.refusal(reduction, next, kind, message)
        SessionReplies.answerPending(reduction, next, pending, reply)
    }
}

/** The active sessions whose transaction or pending statement uses a connection of [group] to [server]. */
internal fun Reduction.sessionsAt(group: GroupName, server: ServerName): List<Session> =
    state.active.mapNotNull { session(it) }.filter { session ->
        val running = session.running?.connection
        val held = running ?: ConnectionCheckout.connectionOf(session.pending)
        val connection = held?.let { state.connections[it] }
        connection?.server == server && connection.group == group
    }
