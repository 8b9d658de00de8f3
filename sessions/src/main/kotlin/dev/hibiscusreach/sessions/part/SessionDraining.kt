package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Ends the process without interrupting statements. */
internal object SessionDraining {
    fun begin(turn: Reduction) {
        if (turn.state.stoppingSince != null) return
        turn.log("stop requested", "sessions" to turn.state.sessions.size)
        turn.state = turn.state.copy(stoppingSince = turn.now)
    }

    fun review(turn: Reduction) {
        val since = turn.state.stoppingSince ?: return
        if (turn.state.exited) return
        val elapsed = turn.now - since
        val drain = turn.settings.drain
        if (elapsed >= drain.closeIdleAfter) closeIdle(turn)
        if (elapsed >= drain.endTransactionsAfter) endTransactions(turn)
        if (elapsed >= drain.closeIdleAfter && turn.state.sessions.isEmpty()) stopListening(turn)
        val closed = turn.state.listeningUntil?.let { turn.now - it >= drain.exitDelay } ?: false
        if (elapsed >= drain.exitAfter || closed && turn.state.sessions.isEmpty()) exit(turn)
    }

    // A session that is accepted between the last check and the end of the process would be cut.
    private fun stopListening(turn: Reduction) {
        if (turn.state.listeningUntil != null) return
        turn.state = turn.state.copy(listeningUntil = turn.now)
        turn.emit(SessionEffect.StopListening)
    }

    private fun closeIdle(turn: Reduction) =
        turn.state.sessions.values
            .filter { it.pending == null && it.transaction is Transaction.None }
            .forEach { close(turn, it) }

    private fun endTransactions(turn: Reduction) =
        turn.state.active
            .mapNotNull { turn.session(it) }
            .filter { it.pending == null }
            .forEach { session ->
                val running = session.running
                if (running != null) StatementDeadlines.endTransaction(turn, session, running, "the proxy is stopping")
            }

    private fun close(turn: Reduction, session: Session) {
        turn.state = turn.state.copy(sessions = turn.state.sessions.remove(session.number))
        turn.emit(SessionEffect.CloseSession(session.number))
    }

    private fun exit(turn: Reduction) {
        val key = FleetKey.proxy(turn.state.self.identity.node)
        val own = turn.state.fleet.records[key]
        if (own != null) turn.emit(SessionEffect.DeleteFleet(key, own.revision))
        turn.log("drained", "sessions" to turn.state.sessions.size)
        turn.state = turn.state.copy(exited = true)
        turn.emit(SessionEffect.Exit)
    }
}
