package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Handles server connections that are opened, refused, lost, or closed because of a fault. */
internal object ServerConnectionEvents {
    /** Marks a connection as open, ends the backoff of its server and serves waiting statements. */
    fun opened(reduction: Reduction, event: SessionEvent.ConnectionOpened) {
        val connection = reduction.state.connections[event.connection] ?: return
        ConnectionPools.put(reduction, connection.copy(open = true, usedAt = reduction.now))
        ServerHealthTracking.recordAnswer(reduction, connection.server)
        reduction.updateHealth(connection.server) {
            if (it.connectPause != null) logReachable(reduction, connection)
            it.copy(connectPause = null, connectAfter = null, refusedAt = null)
        }
        StatementDispatch.serveWaiting(reduction, connection.group)
    }

    /** Removes a connection that the server refused and pauses connects to the server. */
    fun refused(reduction: Reduction, event: SessionEvent.ConnectionRefused) {
        val connection = reduction.state.connections[event.connection] ?: return
        ConnectionPools.remove(reduction, connection)
        ServerHealthTracking.recordAnswer(reduction, connection.server)
        if (event.failure == ServerFailure.CONNECTION_LIMIT) {
            val after = reduction.now + reduction.settings.connections.connectionLimitPause
            reduction.updateHealth(connection.server) { it.copy(connectAfter = after) }
        } else {
            ServerHealthTracking.recordConnectFailure(reduction, connection.server)
        }
        reduction.count(SessionCounter.CONNECTIONS, "refused")
        reduction.log(
            "connection refused by server",
            "server" to connection.server,
            "reason" to event.failure.name,
        )
        if (event.failure == ServerFailure.WRONG_SERVER) ServerRegistry.remove(reduction, connection.server)
    }

    /** Removes a lost connection, ends its transaction, and fails or retries the statement that used it. */
    fun lost(reduction: Reduction, event: SessionEvent.ConnectionLost) {
        val connection = reduction.state.connections[event.connection] ?: return
        ConnectionPools.remove(reduction, connection)
        reduction.count(SessionCounter.CONNECTIONS, "lost")
        reduction.log(
            "connection lost",
            "server" to connection.server,
            "connection" to connection.number.value,
            "wasOpen" to connection.open,
            "reason" to event.failure.name,
        )
        if (!connection.open) ServerHealthTracking.recordConnectFailure(reduction, connection.server)
        // A server may close idle connections.
        val wasUsed = !connection.open || connection.outstanding.isNotEmpty()
        if (wasUsed) OutlierEjection.recordFailure(reduction, connection.server)
        if (event.failure == ConnectionFailure.REFUSED) {
            reduction.updateHealth(connection.server) { it.copy(refusedAt = reduction.now) }
        }
        failOrRetry(reduction, connection)
        StatementDispatch.serveWaiting(reduction, connection.group)
    }

    /** Closes a connection in an unknown state; its transaction and statement are handled as for a lost connection. */
    fun closeBroken(reduction: Reduction, connection: ServerConnection) {
        ConnectionPools.close(reduction, connection)
        OutlierEjection.recordFailure(reduction, connection.server)
        failOrRetry(reduction, connection)
    }

    /** Closes a connection on which a session could not be set up; the answer has been recorded. */
    fun closeAfterFailedSetup(reduction: Reduction, connection: ServerConnection) {
        ConnectionPools.close(reduction, connection)
        failOrRetry(reduction, connection)
    }

    private fun failOrRetry(reduction: Reduction, connection: ServerConnection) {
        val session = connection.heldBy?.let { reduction.session(it) } ?: return
        val pending = session.pending
        val running = session.running
        when {
            running != null && pending != null -> failInTransaction(reduction, session, pending, running)
            running != null -> {
                val message = "the transaction's server connection was lost"
                val aborted = Transaction.Aborted(ErrorKind.TRANSACTION_ENDED, message)
                reduction.put(session.copy(transaction = aborted))
            }
            pending != null -> failOrRetryStatement(reduction, session, pending, connection)
        }
    }

    private fun failInTransaction(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        running: Transaction.Running,
    ) {
        val sent = pending.phase is Phase.Sent
        val mayHaveCommitted = pending.commits && running.wrote && sent
        val kind = if (mayHaveCommitted) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.TRANSACTION_ENDED
        val updated = session.copy(transaction = pending.transactionAfterFailure)
        val message = "the transaction's server connection was lost"
        SessionReplies.answerPending(
            reduction,
            updated,
            pending,
            SessionReplies.refusal(reduction, updated, kind, message),
        )
    }

    private fun failOrRetryStatement(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection,
    ) {
        val safeToRetry = pending.isBeingSetUp || StatementFailures.isIdempotent(session, pending)
        when {
            !safeToRetry -> {
                val message = "the server connection was lost before the write was answered"
                val reply = SessionReplies.refusal(reduction, session, ErrorKind.OUTCOME_UNKNOWN, message)
                SessionReplies.answerPending(reduction, session, pending, reply)
            }
            StatementFailures.mayRetry(reduction, pending) &&
                RetryBudget.spend(reduction, connection.group, notRun = pending.isBeingSetUp) -> {
                reduction.count(SessionCounter.RETRIES, "connection-lost")
                val retried =
                    pending.copy(
                        excluded = pending.excluded + connection.server,
                        reachedServer = pending.reachedServer && !pending.isBeingSetUp,
                    )
                StatementDispatch.requeue(reduction, session, retried)
            }
            else ->
                StatementFailures.refuse(
                    reduction,
                    session,
                    pending,
                    ErrorKind.SERVER_UNREACHABLE,
                    "the server connection was lost",
                )
        }
    }

    private fun logReachable(reduction: Reduction, connection: ServerConnection) =
        reduction.log("server reachable again", "server" to connection.server)
}
