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

/** Handles connections that open, are refused, break, or are given up. */
internal object ServerConnectionEvents {
    fun opened(turn: Reduction, event: SessionEvent.ConnectionOpened) {
        val connection = turn.state.connections[event.connection] ?: return
        ConnectionPools.put(turn, connection.copy(open = true, usedAt = turn.now))
        ServerHealthTracking.answered(turn, connection.server)
        turn.updateHealth(connection.server) {
            if (it.connectPause != null) logReachable(turn, connection)
            it.copy(connectPause = null, connectAfter = null, refusedAt = null)
        }
        StatementDispatch.serveWaiting(turn, connection.group)
    }

    fun refused(turn: Reduction, event: SessionEvent.ConnectionRefused) {
        val connection = turn.state.connections[event.connection] ?: return
        ConnectionPools.remove(turn, connection)
        ServerHealthTracking.answered(turn, connection.server)
        if (event.failure == ServerFailure.CONNECTION_LIMIT) {
            val after = turn.now + turn.settings.connections.connectionLimitPause
            turn.updateHealth(connection.server) { it.copy(connectAfter = after) }
        } else {
            ServerHealthTracking.connectFailed(turn, connection.server)
        }
        turn.count(SessionCounter.CONNECTIONS, "refused")
        turn.log(
            "connection refused by server",
            "server" to connection.server,
            "reason" to event.failure.name,
        )
        if (event.failure == ServerFailure.WRONG_SERVER) ServerRegistry.forget(turn, connection.server)
    }

    fun lost(turn: Reduction, event: SessionEvent.ConnectionLost) {
        val connection = turn.state.connections[event.connection] ?: return
        ConnectionPools.remove(turn, connection)
        turn.count(SessionCounter.CONNECTIONS, "lost")
        turn.log(
            "connection lost",
            "server" to connection.server,
            "connection" to connection.number.value,
            "wasOpen" to connection.open,
            "reason" to event.failure.name,
        )
        if (!connection.open) ServerHealthTracking.connectFailed(turn, connection.server)
        if (event.failure == ConnectionFailure.REFUSED) {
            turn.updateHealth(connection.server) { it.copy(refusedAt = turn.now) }
        }
        afterLoss(turn, connection)
        StatementDispatch.serveWaiting(turn, connection.group)
    }

    /** Closes a connection whose state is in doubt. */
    fun closeBroken(turn: Reduction, connection: ServerConnection) {
        ConnectionPools.close(turn, connection)
        afterLoss(turn, connection)
    }

    private fun afterLoss(turn: Reduction, connection: ServerConnection) {
        val session = connection.heldBy?.let { turn.session(it) } ?: return
        val pending = session.pending
        val running = session.running
        when {
            running != null && pending != null -> lostInTransaction(turn, session, pending, running)
            running != null -> {
                val message = "the transaction's server connection was lost"
                val aborted = Transaction.Aborted(ErrorKind.TRANSACTION_ENDED, message)
                turn.put(session.copy(transaction = aborted))
            }
            pending != null -> lostStatement(turn, session, pending, connection)
        }
    }

    private fun lostInTransaction(
        turn: Reduction,
        session: Session,
        pending: PendingStatement,
        running: Transaction.Running,
    ) {
        val sent = pending.phase is Phase.Sent
        val mayHaveCommitted = pending.commits && running.wrote && sent
        val kind = if (mayHaveCommitted) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.TRANSACTION_ENDED
        val next = session.copy(transaction = pending.transactionAfterFailure)
        val message = "the transaction's server connection was lost"
        SessionReplies.pending(turn, next, pending, SessionReplies.refusal(turn, next, kind, message))
    }

    private fun lostStatement(
        turn: Reduction,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection,
    ) {
        val harmless = pending.phase is Phase.Beginning || StatementFailures.isRead(session, pending)
        when {
            !harmless -> {
                val message = "the server connection was lost before the write was answered"
                val reply = SessionReplies.refusal(turn, session, ErrorKind.OUTCOME_UNKNOWN, message)
                SessionReplies.pending(turn, session, pending, reply)
            }
            StatementFailures.hasTime(turn, pending) -> {
                turn.count(SessionCounter.RETRIES, "connection-lost")
                val next = pending.copy(excluded = pending.excluded + connection.server)
                StatementDispatch.requeue(turn, session, next)
            }
            else ->
                StatementFailures.refuse(
                    turn,
                    session,
                    pending,
                    ErrorKind.SERVER_UNREACHABLE,
                    "the server connection was lost",
                )
        }
    }

    private fun logReachable(turn: Reduction, connection: ServerConnection) =
        turn.log("server reachable again", "server" to connection.server)
}
