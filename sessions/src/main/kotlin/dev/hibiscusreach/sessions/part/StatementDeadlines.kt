package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Ends statements and transactions whose time is over, and repeats those whose pause is over. */
internal object StatementDeadlines {
    fun review(turn: Reduction) {
        SessionLifecycle.review(turn)
        for (number in turn.state.active) {
            val session = turn.session(number) ?: continue
            val pending = session.pending
            if (pending == null) reviewIdle(turn, session) else reviewPending(turn, session, pending)
        }
        turn.state.waiting.keys
            .forEach { StatementDispatch.serveWaiting(turn, it) }
    }

    /** Ends a running transaction between two statements; the caller is told at its next statement. */
    fun endTransaction(turn: Reduction, session: Session, running: Transaction.Running, message: String) {
        ConnectionCheckout.rollback(turn, running.connection)
        turn.log("transaction ended", "session" to session.number.value, "reason" to message)
        turn.put(session.copy(transaction = Transaction.Aborted(ErrorKind.TRANSACTION_ENDED, message)))
    }

    private fun reviewIdle(turn: Reduction, session: Session) {
        val running = session.running ?: return
        val limit = turn.state.configuration?.transactionIdleLimit ?: return
        if (turn.now - running.usedAt > limit) endTransaction(turn, session, running, "the transaction was idle")
    }

    private fun reviewPending(turn: Reduction, session: Session, pending: PendingStatement) {
        when (val phase = pending.phase) {
            is Phase.Waiting -> reviewWaiting(turn, session, pending)
            is Phase.Beginning -> reviewSent(turn, session, pending)
            is Phase.Sent -> reviewSent(turn, session, pending)
            is Phase.AwaitingRetry -> {
                val running = session.running
                if (running != null && turn.now >= phase.at) {
                    StatementSending.inTransaction(turn, session, pending, running)
                }
            }
        }
    }

    private fun reviewWaiting(turn: Reduction, session: Session, pending: PendingStatement) {
        val group = turn.group(pending.route.group)
        if (turn.now < pending.waitsUntil(turn, PrimaryStatus.changing(group))) return
        val needsPrimary = ServerSelection.needsPrimary(session, pending)
        val (kind, message) =
            when {
                needsPrimary && PrimaryStatus.usable(turn, group) == null ->
                    ErrorKind.NO_PRIMARY to "no primary came into office in time"
                !needsPrimary && PrimaryStatus.minimumPosition(turn, session, pending) == null ->
                    ErrorKind.READ_TOO_OLD to "no server is known to be fresh enough"
                else -> ErrorKind.OVERLOADED to "no connection became free in time"
            }
        StatementFailures.refuse(turn, session, pending, kind, message)
    }

    private fun reviewSent(turn: Reduction, session: Session, pending: PendingStatement) {
        val connection = ConnectionCheckout.heldBy(pending)?.let { turn.state.connections[it] } ?: return
        val expired = turn.now - pending.arrivedAt > pending.route.statementTimeout
        when {
            expired -> expire(turn, session, pending, connection.server)
            StatementFailures.isRead(session, pending) && isSilent(turn, connection.server, pending) ->
                ServerConnectionEvents.closeBroken(turn, connection)
        }
    }

    // A server that was silent before the statement was sent gets the whole time for it.
    private fun isSilent(turn: Reduction, server: ServerName, pending: PendingStatement): Boolean {
        val sentAt = (pending.phase as? Phase.Sent)?.sentAt ?: return false
        return ServerHealthTracking.isSilent(turn, server) &&
            turn.now - sentAt > turn.settings.statements.silenceTimeout
    }

    private fun expire(turn: Reduction, session: Session, pending: PendingStatement, server: ServerName) {
        val running = session.running
        val commits = pending.commits
        val changes = if (commits) running?.wrote ?: false else running == null && pending.access == Access.WRITE
        val began = pending.phase !is Phase.Beginning
        val kind = if (changes && began) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.DEADLINE_EXCEEDED
        turn.log("statement timed out", "request" to pending.identifier, "server" to server)
        ConnectionCheckout.heldBy(pending)?.let { turn.state.connections[it] }?.let { ConnectionPools.close(turn, it) }
        val inTransaction = session.transaction !is Transaction.None
        val ended = if (inTransaction && !commits) Transaction.Failed else Transaction.None
        val next = session.copy(transaction = ended)
        val reply = SessionReplies.refusal(turn, next, kind, "server $server did not answer in time")
        SessionReplies.pending(turn, next, pending, reply)
    }
}

/** The sessions whose statement or transaction is at [server]. */
internal fun Reduction.sessionsAt(group: GroupName, server: ServerName): List<Session> =
    state.active.mapNotNull { session(it) }.filter { session ->
        val running = session.running?.connection
        val held = running ?: ConnectionCheckout.heldBy(session.pending)
        val connection = held?.let { state.connections[it] }
        connection?.server == server && connection.group == group
    }
