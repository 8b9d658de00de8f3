package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.TimedSessionEvent
import dev.hibiscusreach.sessions.event.TimerSubject
import dev.hibiscusreach.sessions.part.AllowanceOwnership
import dev.hibiscusreach.sessions.part.CallerAdmission
import dev.hibiscusreach.sessions.part.ConfigurationFreshness
import dev.hibiscusreach.sessions.part.ConnectionPools
import dev.hibiscusreach.sessions.part.FleetEvents
import dev.hibiscusreach.sessions.part.GroupMonitoring
import dev.hibiscusreach.sessions.part.PeerMonitoring
import dev.hibiscusreach.sessions.part.Reduction
import dev.hibiscusreach.sessions.part.ServerAnswers
import dev.hibiscusreach.sessions.part.ServerConnectionEvents
import dev.hibiscusreach.sessions.part.ServerRegistry
import dev.hibiscusreach.sessions.part.SessionDraining
import dev.hibiscusreach.sessions.part.SessionLifecycle
import dev.hibiscusreach.sessions.part.StatementArrivals
import dev.hibiscusreach.sessions.part.StatementDeadlines
import dev.hibiscusreach.sessions.part.StoreSources
import dev.hibiscusreach.sessions.part.TenantDispatch
import dev.hibiscusreach.sessions.state.SessionProxyState

/** The state after an event, and the effects to carry out in order. */
data class SessionTransition(val state: SessionProxyState, val effects: List<SessionEffect>)

/** Handles callers' sessions, server connections and changes of primaries as a pure function of state and event. */
object SessionReducer {
    /** Applies [timed] to [state]; has no side effects. */
    fun reduce(state: SessionProxyState, timed: TimedSessionEvent): SessionTransition {
        val reduction = Reduction(state, timed.now)
        handle(reduction, timed.event)
        TenantDispatch.serveMarked(reduction, timed.event)
        startRequestTimer(reduction)
        return SessionTransition(reduction.state, reduction.effects)
    }

    private fun handle(reduction: Reduction, event: SessionEvent) =
        when (event) {
            SessionEvent.Started -> start(reduction)
            is SessionEvent.SessionRequested -> SessionLifecycle.open(reduction, event)
            is SessionEvent.StatementArrived -> StatementArrivals.statementArrived(reduction, event)
            is SessionEvent.SessionEnded -> SessionLifecycle.end(reduction, event)
            is SessionEvent.ConnectionOpened -> ServerConnectionEvents.opened(reduction, event)
            is SessionEvent.ConnectionRefused -> ServerConnectionEvents.refused(reduction, event)
            is SessionEvent.ConnectionLost -> ServerConnectionEvents.lost(reduction, event)
            is SessionEvent.ServerAnswered -> ServerAnswers.handle(reduction, event)
            is SessionEvent.TimerFired -> fire(reduction, event.subject)
            SessionEvent.StopRequested -> SessionDraining.begin(reduction)
            else -> handleRead(reduction, event)
        }

    private fun handleRead(reduction: Reduction, event: SessionEvent) =
        when (event) {
            is SessionEvent.ConfigurationRead -> ServerRegistry.applyConfiguration(reduction, event.configuration)
            is SessionEvent.ConfigurationConfirmed -> ConfigurationFreshness.confirmed(reduction, event)
            is SessionEvent.ConfigurationUnusable -> ConfigurationFreshness.unusable(reduction, event)
            is SessionEvent.ServersRead -> ServerRegistry.read(reduction, event)
            is SessionEvent.TenantSettingsChanged -> CallerAdmission.changeSettings(reduction, event.settings)
            else -> FleetEvents.handle(reduction, event)
        }

    private fun start(reduction: Reduction) {
        TimerSubject.entries.forEach { fire(reduction, it) }
    }

    private fun fire(reduction: Reduction, subject: TimerSubject) =
        when (subject) {
            TimerSubject.REQUESTS -> {
                reduction.state = reduction.state.copy(requestTimerRuns = false)
                StatementDeadlines.enforce(reduction)
                SessionDraining.review(reduction)
            }
            TimerSubject.GROUPS -> {
                startTimer(reduction, subject, reduction.settings.changes.checkPeriod)
                ConfigurationFreshness.review(reduction)
                ServerRegistry.review(reduction)
                StoreSources.review(reduction)
                AllowanceOwnership.review(reduction)
                PeerMonitoring.review(reduction)
                GroupMonitoring.review(reduction)
                ConnectionPools.closeSilent(reduction)
            }
        }

    // Runs only while there are requests, because an idle proxy should not use processor time.
    private fun startRequestTimer(reduction: Reduction) {
        val state = reduction.state
        val isDraining = state.stoppingSince != null && !state.exited
        val isNeeded = state.active.isNotEmpty() || state.arriving.isNotEmpty() || isDraining
        if (!isNeeded || state.requestTimerRuns) return
        reduction.state = state.copy(requestTimerRuns = true)
        startTimer(reduction, TimerSubject.REQUESTS, reduction.settings.statements.checkPeriod)
    }

    private fun startTimer(reduction: Reduction, subject: TimerSubject, delay: Millis) =
        reduction.emit(SessionEffect.StartTimer(subject, delay))
}
