package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Drains the sessions before the process exits, so that only a drain that exceeds its limit interrupts statements. */
internal object SessionDraining {
    /** Starts the drain; repeated requests have no effect. */
    fun begin(reduction: Reduction) {
        if (reduction.state.stoppingSince != null) return
        reduction.log("stop requested", "sessions" to reduction.state.sessions.size)
        reduction.state = reduction.state.copy(stoppingSince = reduction.now)
    }

    /** Performs the steps of the drain that are due. */
    fun review(reduction: Reduction) {
        val since = reduction.state.stoppingSince ?: return
        if (reduction.state.exited) return
        val elapsed = reduction.now - since
        val drain = reduction.settings.drain
        if (elapsed >= drain.closeIdleAfter) closeIdleSessions(reduction)
        if (elapsed >= drain.endTransactionsAfter) endTransactions(reduction)
        if (elapsed >= drain.closeIdleAfter && reduction.state.sessions.isEmpty()) stopListening(reduction)
        val exitDelayPassed = reduction.state.listeningUntil?.let { reduction.now - it >= drain.exitDelay } ?: false
        if (elapsed >= drain.exitAfter || exitDelayPassed && reduction.state.sessions.isEmpty()) exit(reduction)
    }

    // Listening ends some time before the exit: a session accepted after the last check would be cut off by the exit.
    private fun stopListening(reduction: Reduction) {
        if (reduction.state.listeningUntil != null) return
        reduction.state = reduction.state.copy(listeningUntil = reduction.now)
        reduction.emit(SessionEffect.StopListening)
    }

    private fun closeIdleSessions(reduction: Reduction) {
        val idle = reduction.state.sessions.values.filter { it.pending == null }
        val idleSince = reduction.now - reduction.settings.drain.idleTime
        idle.filter { it.transaction is Transaction.None && it.idleSince <= idleSince }.forEach { close(reduction, it) }
        // The peer hears of the end of its transaction with its next statement.
        idle.filter { it.isForwarded && it.transaction is Transaction.Aborted }.forEach { reduction.remove(it) }
    }

    private fun endTransactions(reduction: Reduction) =
        reduction.state.active
            .mapNotNull { reduction.session(it) }
            .filter { it.pending == null }
            .forEach { session ->
                StatementDeadlines.endTransaction(reduction, session, LateArrivals.STOPPING)
            }

    /** Closes the session of a caller. Statements that the caller has sent meanwhile are refused. */
    fun close(reduction: Reduction, session: Session) {
        reduction.remove(session)
        reduction.emit(SessionEffect.CloseSession(session.number))
    }

    // Answers of servers and homes that arrive from now on are not sent any more.
    private fun answerPending(reduction: Reduction) {
        val reason = LateArrivals.STOPPING
        for (session in reduction.state.active.mapNotNull { reduction.session(it) }) {
            val pending = session.pending
            val isWaiting = pending?.phase is Phase.Waiting || pending?.phase is Phase.AwaitingAllowance
            val hasNotRun = isWaiting || pending?.isBeingSetUp == true
            when {
                pending == null -> Unit
                hasNotRun -> StatementFailures.refuse(reduction, session, pending, ErrorKind.DRAINING, reason)
                else -> StatementDeadlines.answerExpired(reduction, session, pending, reason)
            }
        }
    }

    private fun exit(reduction: Reduction) {
        SessionLifecycle.refuseArriving(reduction)
        answerPending(reduction)
        stopListening(reduction)
        reduction.state.sessions.values.filter { !it.isForwarded }.forEach { close(reduction, it) }
        val key = FleetKey.proxy(reduction.state.self.identity.node)
        val ownRecord = reduction.state.fleet.records[key]
        if (ownRecord != null) reduction.emit(SessionEffect.DeleteFleet(key, ownRecord.revision))
        reduction.log("drained", "sessions" to reduction.state.sessions.size)
        reduction.state = reduction.state.copy(exited = true)
        reduction.emit(SessionEffect.Exit)
    }
}
