package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.state.ArrivingSession
import dev.hibiscusreach.sessions.state.Session
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Accepts, refuses and ends sessions. */
internal object SessionLifecycle {
    /** Opens a session. Before the first configuration it waits for a short time, because a refusal costs a retry. */
    fun open(reduction: Reduction, event: SessionEvent.SessionRequested) {
        val arriving = ArrivingSession(event.session, event.database, event.key, reduction.now, event.origin)
        if (reduction.state.configuration == null && !reduction.state.fleet.storeLost) {
            reduction.state = reduction.state.copy(arriving = reduction.state.arriving.add(arriving))
        } else {
            acceptOrRefuse(reduction, arriving)
        }
    }

    /** Accepts or refuses the sessions that waited for the first configuration. */
    fun onConfigured(reduction: Reduction) {
        val arriving = reduction.state.arriving
        reduction.state = reduction.state.copy(arriving = persistentListOf())
        arriving.forEach { acceptOrRefuse(reduction, it) }
    }

    /** Refuses sessions that have waited too long for a configuration, or all waiting ones if the store is lost. */
    fun review(reduction: Reduction) {
        val timeout = reduction.settings.statements.configurationWait
        val (expired, waiting) =
            reduction.state.arriving
                .partition { reduction.state.fleet.storeLost || reduction.now - it.since >= timeout }
        if (expired.isEmpty()) return
        reduction.state = reduction.state.copy(arriving = waiting.toPersistentList())
        expired.forEach { acceptOrRefuse(reduction, it) }
    }

    /** Refuses the sessions that wait for a configuration when the process exits. */
    fun refuseArriving(reduction: Reduction) {
        val arriving = reduction.state.arriving
        reduction.state = reduction.state.copy(arriving = persistentListOf())
        arriving.forEach { refuse(reduction, it.number, it.database, ErrorKind.DRAINING) }
    }

    private fun acceptOrRefuse(reduction: Reduction, arriving: ArrivingSession) {
        val (session, database, key) = arriving
        val route = reduction.state.configuration?.routes?.get(database)
        val kind =
            when {
                LateArrivals.isRefusing(reduction) -> ErrorKind.DRAINING
                reduction.state.configuration == null -> ErrorKind.NO_CONFIGURATION
                route == null -> ErrorKind.UNKNOWN_DATABASE
                else -> null
            }
        val decision = if (kind == null && route != null) CallerAdmission.decide(reduction, route, key) else null
        when {
            kind != null -> refuse(reduction, session, database, kind)
            decision is CallerDecision.Refused -> refuseCaller(reduction, session, database, decision.reason)
            else -> {
                reduction.put(Session(session, database, key, reduction.now, arriving.origin))
                reduction.emit(SessionEffect.AcceptSession(session))
            }
        }
    }

    private fun refuseCaller(
        reduction: Reduction,
        session: SessionNumber,
        database: DatabaseName,
        reason: CallerRefusal,
    ) {
        reduction.count(SessionCounter.CALLER_REFUSALS, reason.label)
        logRefusal(reduction, session, database, reason.label)
        reduction.emit(SessionEffect.RefuseSession(session, reason.kind, reason.message))
    }

    private fun refuse(reduction: Reduction, session: SessionNumber, database: DatabaseName, kind: ErrorKind) {
        logRefusal(reduction, session, database, kind.label)
        reduction.emit(SessionEffect.RefuseSession(session, kind, "database $database is not available"))
    }

    private fun logRefusal(reduction: Reduction, session: SessionNumber, database: DatabaseName, reason: String) =
        reduction.log(
            "session refused",
            "session" to session.value,
            "database" to database,
            "reason" to reason,
            "configurationVersion" to reduction.state.configuration?.version,
            "sinceConfirmedMillis" to ConfigurationFreshness.age(reduction)?.value,
        )

    /** Removes a session and rolls back its open transaction. */
    fun end(reduction: Reduction, event: SessionEvent.SessionEnded) {
        val arriving = reduction.state.arriving.removeAll { it.number == event.session }
        reduction.state = reduction.state.copy(arriving = arriving)
        val session = reduction.session(event.session) ?: return
        session.pending?.let { reduction.dequeue(it.route.group, session.number) }
        OperationAllowances.release(reduction, session)
        reduction.remove(session)
        StatementForwarding.end(reduction, session)
        val running = session.running
        val held = running?.connection ?: ConnectionCheckout.connectionOf(session.pending)
        // The connection of an outstanding statement is not reused before the answer, which shows what to roll back.
        if (held != null) ConnectionCheckout.reclaim(reduction, held, rollback = running != null)
    }
}
