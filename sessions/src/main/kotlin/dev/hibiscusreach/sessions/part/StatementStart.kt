package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Sends the first message of a statement on the connection that was found for it. */
internal object StatementStart {
    /** Sends the statement on a connection, or lets it take another token first; false if it stays in the queue. */
    fun start(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        chosen: Pair<ServerConnection, ServerCandidate>,
    ): Boolean {
        val (connection, candidate) = chosen
        when (val renewal = ExpiredTokens.renew(reduction, session, pending, connection)) {
            TokenRenewal.Postponed -> return false
            TokenRenewal.Awaited -> Unit
            is TokenRenewal.Ready -> {
                if (TenantPools.apply(reduction)) recordTurn(reduction, pending)
                val sent = (renewal.session.pending ?: pending).copy(reachedServer = true)
                val held = ConnectionCheckout.checkOut(reduction, connection, session.number)
                sendOn(reduction, renewal.session, sent, held, candidate)
            }
        }
        return true
    }

    private fun recordTurn(reduction: Reduction, pending: PendingStatement) {
        FairQueue.served(reduction, pending.route.group, pending.tenant)
        if (reduction.now > ConnectionWait.objectiveDeadline(reduction, pending)) {
            reduction.count(SessionCounter.WAITS, "started-late")
        }
    }

    private fun sendOn(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection,
        candidate: ServerCandidate,
    ) {
        val begun = session.transaction as? Transaction.Begun
        if (begun == null) {
            StatementSending.send(reduction, session, pending, connection, candidate.minimumPosition)
        } else {
            // The statement itself is sent after the answer to BEGIN, so that it can't run behind a failed setup.
            val next = StatementSending.serverStatement(session, pending, minimumPosition = null)
            val limit = reduction.settings.kept.bytesPerConnection
            val (prepared, setup) = SessionSetup.statements(connection, session, next, limit)
            val begin = ServerStatement.Begin(begun.readOnly, candidate.minimumPosition)
            reduction.put(
                session.copy(pending = pending.copy(phase = Phase.Beginning(connection.number, reduction.now))),
            )
            ConnectionCheckout.send(reduction, prepared, setup.map { Purpose.SETUP to it } + (Purpose.BEGIN to begin))
        }
    }
}
