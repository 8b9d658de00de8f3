package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.state.ObservedLatency
import dev.hibiscusreach.sessions.state.OutstandingStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.ServerLoad
import dev.hibiscusreach.sessions.state.Session

/** Records what the selection of servers needs to know. Does nothing unless the selection is adaptive. */
internal object ServerLoads {
    /** Whether servers are selected by their observed load. */
    fun apply(reduction: Reduction): Boolean = reduction.settings.selection.adaptive

    /** The observed load of a server; an empty one before the first observation. */
    fun of(reduction: Reduction, server: ServerName): ServerLoad =
        reduction.state.selection.servers[server] ?: ServerLoad()

    /** Replaces the load of a registered server with the result of [change]. */
    fun update(reduction: Reduction, server: ServerName, change: (ServerLoad) -> ServerLoad) {
        if (reduction.state.server(server) == null) return
        val servers = reduction.state.selection.servers.put(server, change(of(reduction, server)))
        val selection = reduction.state.selection.copy(servers = servers)
        reduction.state = reduction.state.copy(selection = selection)
    }

    /** Forgets a server that is not registered any more. */
    fun remove(reduction: Reduction, server: ServerName) {
        val selection = reduction.state.selection
        reduction.state = reduction.state.copy(selection = selection.copy(servers = selection.servers.remove(server)))
    }

    /** Statements of this proxy that occupy a slot of the server. */
    fun inFlight(reduction: Reduction, server: ServerName): Int =
        ConnectionPools.connections(reduction, server).count { connection ->
            connection.outstanding.any { it.purpose != Purpose.PROBE }
        }

    /** Records that a caller's statement is sent to a server. */
    fun recordSent(reduction: Reduction, session: Session, pending: PendingStatement, server: ServerName) {
        if (!apply(reduction)) return
        val isBound = session.running != null || ServerSelection.needsPrimary(session, pending)
        val halfLife = reduction.settings.selection.loadHalfLife
        if (pending.attempts == 0) RetryBudget.recordFirst(reduction, pending.route.group)
        OutlierEjection.recordSent(reduction, server, EjectionRule.isProbe(session, pending))
        update(reduction, server) { load ->
            val bound = load.boundStatements
            load.copy(
                statements = load.statements.plusOne(reduction.now, halfLife),
                boundStatements = if (isBound) bound.plusOne(reduction.now, halfLife) else bound,
            )
        }
    }

    /** Records the answer to [sent], which has already been removed from [connection]. */
    fun recordAnswer(
        reduction: Reduction,
        connection: ServerConnection,
        sent: OutstandingStatement,
        answer: ServerAnswer,
    ) {
        if (!apply(reduction) || sent.purpose == Purpose.PROBE) return
        val server = connection.server
        when (val result = answer.result) {
            is ServerAnswer.Result.Completed ->
                if (sent.purpose == Purpose.CALLER) {
                    recordSuccess(reduction, server, sent)
                    OutlierEjection.recordSuccess(reduction, server, isProbe(reduction, connection))
                }
            is ServerAnswer.Result.Failed -> {
                // A value or a prepared statement that the server cannot use is the caller's failure.
                val isOfCaller = sent.purpose == Purpose.SETUP && result.failure == ServerFailure.FAILED
                if (!isOfCaller) recordFailure(reduction, server, result.failure)
            }
        }
    }

    private fun isProbe(reduction: Reduction, connection: ServerConnection): Boolean {
        val session = connection.heldBy?.let { reduction.session(it) }
        return session?.pending?.let { EjectionRule.isProbe(session, it) } ?: false
    }

    private fun recordSuccess(reduction: Reduction, server: ServerName, sent: OutstandingStatement) {
        val duration = reduction.now - sent.sentAt
        val window = reduction.settings.selection.latencyWindow
        val expected = ServerLatency.expected(reduction, server)
        update(reduction, server) { load ->
            val latency = load.latency?.plus(duration, expected, reduction.now, window)
            load.copy(latency = latency ?: ObservedLatency.first(duration, reduction.now))
        }
        ConcurrencyLimit.recordSuccess(reduction, server)
    }

    private fun recordFailure(reduction: Reduction, server: ServerName, failure: ServerFailure) {
        val halfLife = reduction.settings.selection.loadHalfLife
        when (failure) {
            ServerFailure.OVERLOADED -> {
                update(reduction, server) { it.copy(overloads = it.overloads.plusOne(reduction.now, halfLife)) }
                ConcurrencyLimit.recordOverload(reduction, server)
            }
            ServerFailure.FAILED, ServerFailure.TIMED_OUT -> OutlierEjection.recordFailure(reduction, server)
            else -> Unit
        }
    }
}
