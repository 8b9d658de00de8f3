package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Opens and ends sessions. */
internal object SessionLifecycle {
    fun open(turn: Turn, event: SessionEvent.SessionRequested) {
        val configuration = turn.state.configuration
        val route = configuration?.routes?.get(event.database)
        if (route == null) {
            val kind = if (configuration == null) ErrorKind.NO_CONFIGURATION else ErrorKind.UNKNOWN_DATABASE
            turn.log(
                "session refused",
                "session" to event.session.value,
                "database" to event.database,
                "reason" to kind.label,
                "configurationVersion" to configuration?.version,
            )
            turn.emit(SessionEffect.RefuseSession(event.session, kind, "database ${event.database} is not available"))
        } else {
            turn.put(Session(event.session, event.database))
            turn.emit(SessionEffect.AcceptSession(event.session))
        }
    }

    /** Forgets a session; what it had open at a server is rolled back. */
    fun end(turn: Turn, event: SessionEvent.SessionEnded) {
        val session = turn.session(event.session) ?: return
        session.pending?.let { turn.stopWaiting(it.route.group, session.number) }
        val state = turn.state
        turn.state =
            state.copy(sessions = state.sessions.remove(session.number), active = state.active.remove(session.number))
        val running = session.transaction as? Transaction.Running
        val held = running?.connection ?: PoolUse.heldBy(session.pending)
        // An outstanding statement keeps the connection until its answer; only then is it known what to roll back.
        if (held != null) PoolUse.abandon(turn, held, rollback = running != null)
    }
}
