package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Ends the process without interrupting statements. */
internal object Draining {
    fun begin(turn: Turn) {
        if (turn.state.stoppingSince != null) return
        turn.log("stop requested", "sessions" to turn.state.sessions.size)
        turn.state = turn.state.copy(stoppingSince = turn.now)
    }

    fun review(turn: Turn) {
        val since = turn.state.stoppingSince ?: return
        if (turn.state.exited) return
        val elapsed = turn.now - since
        val drain = turn.settings.drain
        if (elapsed >= drain.closeIdle) closeIdle(turn)
        if (elapsed >= drain.endTransactions) endTransactions(turn)
        if (elapsed >= drain.closeIdle && turn.state.sessions.isEmpty()) stopListening(turn)
        val closed = turn.state.listeningUntil?.let { turn.now - it >= drain.lastSessions } ?: false
        if (elapsed >= drain.exit || closed && turn.state.sessions.isEmpty()) exit(turn)
    }

    // A session that is accepted between the last check and the end of the process would be cut.
    private fun stopListening(turn: Turn) {
        if (turn.state.listeningUntil != null) return
        turn.state = turn.state.copy(listeningUntil = turn.now)
        turn.emit(SessionEffect.StopListening)
    }

    private fun closeIdle(turn: Turn) =
        turn.state.sessions.values
            .filter { it.pending == null && it.transaction is Transaction.None }
            .forEach { close(turn, it) }

    private fun endTransactions(turn: Turn) =
        turn.state.active
            .mapNotNull { turn.session(it) }
            .filter { it.pending == null }
            .forEach { session ->
                val running = session.running
                if (running != null) Deadlines.endTransaction(turn, session, running, "the proxy is stopping")
            }

    private fun close(turn: Turn, session: Session) {
        turn.state = turn.state.copy(sessions = turn.state.sessions.remove(session.number))
        turn.emit(SessionEffect.CloseSession(session.number))
    }

    private fun exit(turn: Turn) {
        val key = FleetKey.proxy(turn.state.place.identity.node)
        val own = turn.state.fleet.records[key]
        if (own != null) turn.emit(SessionEffect.DeleteFleet(key, own.revision))
        turn.log("drained", "sessions" to turn.state.sessions.size)
        turn.state = turn.state.copy(exited = true)
        turn.emit(SessionEffect.Exit)
    }
}
