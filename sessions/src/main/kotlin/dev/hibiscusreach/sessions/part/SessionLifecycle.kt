package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.state.ArrivingSession
import dev.hibiscusreach.sessions.state.Session
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Opens and ends sessions. */
internal object SessionLifecycle {
    /** Opens a session; before the first configuration it waits for a short time, because a refusal costs a retry. */
    fun open(turn: Reduction, event: SessionEvent.SessionRequested) {
        if (turn.state.configuration == null && !turn.state.fleet.storeLost) {
            val arriving = ArrivingSession(event.session, event.database, turn.now)
            turn.state = turn.state.copy(arriving = turn.state.arriving.add(arriving))
        } else {
            decide(turn, event.session, event.database)
        }
    }

    /** Decides on the sessions that waited for the first configuration. */
    fun configured(turn: Reduction) {
        val arriving = turn.state.arriving
        turn.state = turn.state.copy(arriving = persistentListOf())
        arriving.forEach { decide(turn, it.number, it.database) }
    }

    /** Refuses sessions that have waited too long for a configuration, or whose store is lost. */
    fun review(turn: Reduction) {
        val limit = turn.settings.statements.configurationWait
        val (refused, waiting) =
            turn.state.arriving.partition { turn.state.fleet.storeLost || turn.now - it.since >= limit }
        if (refused.isEmpty()) return
        turn.state = turn.state.copy(arriving = waiting.toPersistentList())
        refused.forEach { decide(turn, it.number, it.database) }
    }

    private fun decide(turn: Reduction, session: SessionNumber, database: DatabaseName) {
        val configuration = turn.state.configuration
        if (configuration?.routes?.containsKey(database) == true) {
            turn.put(Session(session, database))
            turn.emit(SessionEffect.AcceptSession(session))
            return
        }
        val kind = if (configuration == null) ErrorKind.NO_CONFIGURATION else ErrorKind.UNKNOWN_DATABASE
        turn.log(
            "session refused",
            "session" to session.value,
            "database" to database,
            "reason" to kind.label,
            "configurationVersion" to configuration?.version,
        )
        turn.emit(SessionEffect.RefuseSession(session, kind, "database $database is not available"))
    }

    /** Forgets a session; what it had open at a server is rolled back. */
    fun end(turn: Reduction, event: SessionEvent.SessionEnded) {
        val arriving = turn.state.arriving.removeAll { it.number == event.session }
        turn.state = turn.state.copy(arriving = arriving)
        val session = turn.session(event.session) ?: return
        session.pending?.let { turn.stopWaiting(it.route.group, session.number) }
        val state = turn.state
        turn.state =
            state.copy(sessions = state.sessions.remove(session.number), active = state.active.remove(session.number))
        val running = session.running
        val held = running?.connection ?: ConnectionCheckout.heldBy(session.pending)
        // An outstanding statement keeps the connection until its answer; only then is it known what to roll back.
        if (held != null) ConnectionCheckout.abandon(turn, held, rollback = running != null)
    }
}
