package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.TimedSessionEvent
import dev.hibiscusreach.sessions.event.TimerSubject
import dev.hibiscusreach.sessions.part.Answers
import dev.hibiscusreach.sessions.part.Arrivals
import dev.hibiscusreach.sessions.part.Deadlines
import dev.hibiscusreach.sessions.part.Draining
import dev.hibiscusreach.sessions.part.FleetEvents
import dev.hibiscusreach.sessions.part.GroupReviews
import dev.hibiscusreach.sessions.part.Leases
import dev.hibiscusreach.sessions.part.Losses
import dev.hibiscusreach.sessions.part.Members
import dev.hibiscusreach.sessions.part.Servers
import dev.hibiscusreach.sessions.part.SessionLifecycle
import dev.hibiscusreach.sessions.part.Turn
import dev.hibiscusreach.sessions.state.SessionProxyState

/** What the reduction of an event leads to. */
data class SessionTransition(val state: SessionProxyState, val effects: List<SessionEffect>)

/** All decisions on callers' sessions, as a pure function of the state and an event. */
object SessionReducer {
    /** Reduces [timed] in [state]. */
    fun reduce(state: SessionProxyState, timed: TimedSessionEvent): SessionTransition {
        val turn = Turn(state, timed.now)
        handle(turn, timed.event)
        return SessionTransition(turn.state, turn.effects)
    }

    private fun handle(turn: Turn, event: SessionEvent) =
        when (event) {
            SessionEvent.Started -> start(turn)
            is SessionEvent.SessionRequested -> SessionLifecycle.open(turn, event)
            is SessionEvent.StatementArrived -> Arrivals.statement(turn, event)
            is SessionEvent.SessionEnded -> SessionLifecycle.end(turn, event)
            is SessionEvent.ConnectionOpened -> Losses.opened(turn, event)
            is SessionEvent.ConnectionRefused -> Losses.refused(turn, event)
            is SessionEvent.ConnectionLost -> Losses.lost(turn, event)
            is SessionEvent.ServerAnswered -> Answers.handle(turn, event)
            is SessionEvent.ConfigurationRead -> Servers.configure(turn, event.configuration)
            is SessionEvent.ServersRead -> Servers.read(turn, event)
            is SessionEvent.TimerFired -> fire(turn, event.subject)
            SessionEvent.StopRequested -> Draining.begin(turn)
            else -> FleetEvents.handle(turn, event)
        }

    private fun start(turn: Turn) {
        TimerSubject.entries.forEach { fire(turn, it) }
    }

    private fun fire(turn: Turn, subject: TimerSubject) =
        when (subject) {
            TimerSubject.REQUESTS -> {
                subscribe(turn, subject, turn.settings.requests.review)
                Deadlines.review(turn)
                Draining.review(turn)
            }
            TimerSubject.GROUPS -> {
                subscribe(turn, subject, turn.settings.changes.review)
                Servers.review(turn)
                Members.review(turn)
                GroupReviews.review(turn)
            }
            TimerSubject.LEASE -> Leases.renew(turn)
        }

    private fun subscribe(turn: Turn, subject: TimerSubject, delay: Millis) =
        turn.emit(SessionEffect.StartTimer(subject, delay))
}
