package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.TimedSessionEvent
import dev.hibiscusreach.sessions.event.TimerSubject
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.part.Answers
import dev.hibiscusreach.sessions.part.Arrivals
import dev.hibiscusreach.sessions.part.Changes
import dev.hibiscusreach.sessions.part.Deadlines
import dev.hibiscusreach.sessions.part.Draining
import dev.hibiscusreach.sessions.part.Duties
import dev.hibiscusreach.sessions.part.Fences
import dev.hibiscusreach.sessions.part.GroupRecords
import dev.hibiscusreach.sessions.part.GroupReviews
import dev.hibiscusreach.sessions.part.Leases
import dev.hibiscusreach.sessions.part.Losses
import dev.hibiscusreach.sessions.part.Servers
import dev.hibiscusreach.sessions.part.Successions
import dev.hibiscusreach.sessions.part.Suspicions
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
            is SessionEvent.SessionRequested -> Arrivals.open(turn, event)
            is SessionEvent.StatementArrived -> Arrivals.statement(turn, event)
            is SessionEvent.SessionEnded -> Arrivals.end(turn, event)
            is SessionEvent.ConnectionOpened -> Losses.opened(turn, event)
            is SessionEvent.ConnectionRefused -> Losses.refused(turn, event)
            is SessionEvent.ConnectionLost -> Losses.lost(turn, event)
            is SessionEvent.ServerAnswered -> Answers.handle(turn, event)
            is SessionEvent.ConfigurationRead -> Servers.configure(turn, event.configuration)
            is SessionEvent.ServersRead -> Servers.read(turn, event)
            is SessionEvent.TimerFired -> fire(turn, event.subject)
            SessionEvent.StopRequested -> Draining.begin(turn)
            else -> handleFleet(turn, event)
        }

    private fun handleFleet(turn: Turn, event: SessionEvent) {
        when (event) {
            is SessionEvent.FleetRead -> Leases.read(turn, event)
            is SessionEvent.FleetUnreadable -> Leases.unreadable(turn, event)
            is SessionEvent.FleetWritten -> written(turn, event.key, event.outcome)
            is SessionEvent.PeerAsked -> asked(turn, event.number, event.request)
            is SessionEvent.PeerAnswered -> answered(turn, event)
            is SessionEvent.ControlAnswered -> control(turn, event)
            is SessionEvent.PromotionAnswered -> Duties.answered(turn, event)
            else -> Unit
        }
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
                GroupReviews.review(turn)
            }
            TimerSubject.LEASE -> Leases.renew(turn)
        }

    private fun subscribe(turn: Turn, subject: TimerSubject, delay: Millis) =
        turn.emit(SessionEffect.StartTimer(subject, delay))

    private fun written(turn: Turn, key: FleetKey, outcome: WriteOutcome) {
        val group = turn.state.groups.keys.find { FleetKey.group(it) == key }
        when {
            key == FleetKey.PROMOTER -> Duties.written(turn, outcome)
            group != null -> Changes.written(turn, group, outcome)
            else -> Leases.written(turn, key, outcome)
        }
    }

    private fun asked(turn: Turn, number: PeerRequestNumber, request: PeerRequest) =
        when (request) {
            is PeerRequest.Fence -> Fences.asked(turn, number, request)
            is PeerRequest.Sighting -> {
                val age = turn.health(request.server).answeredAt?.let { (turn.now - it).value }
                turn.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Seen(age)))
            }
            is PeerRequest.Publish -> {
                publish(turn, request.record, request.revision)
                turn.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Done))
            }
        }

    private fun publish(turn: Turn, record: FleetRecord.Group, revision: Long) =
        GroupRecords.adopt(turn, GroupName(record.group), record, revision)

    private fun answered(turn: Turn, event: SessionEvent.PeerAnswered) {
        when (val request = event.request) {
            is PeerRequest.Fence -> Changes.fenced(turn, event, request)
            is PeerRequest.Sighting -> {
                Suspicions.reported(turn, event, request)
                Changes.changerSeen(turn, event)
            }
            is PeerRequest.Publish -> Unit
        }
    }

    private fun control(turn: Turn, event: SessionEvent.ControlAnswered) {
        val asksStatus = event.command is ControlRequest.Status || event.command is ControlRequest.Pause
        if (asksStatus && !GroupReviews.statusOfFirst(turn, event)) Successions.reported(turn, event)
    }
}
