package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Knows the health, terms and positions of the database groups and replaces failed primaries. */
internal class GroupsPart : ReducerPart {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step =
        when (event) {
            is Event.Started -> turn(state, context) { started() }
            is Event.TimerFired -> turn(state, context) { timerFired(event.key) }
            is Event.ControlAnswered -> turn(state, context) { controlAnswered(event) }
            is Event.ControlFailed -> turn(state, context) { controlFailed(event) }
            is Event.PlatformAnswered -> turn(state, context) { platformAnswered(event) }
            is Event.PeerMessageReceived -> turn(state, context) { messageReceived(event) }
            is Signal -> turn(state, context) { signalReceived(event) }
            else -> Step(state)
        }

    private fun turn(state: ProxyState, context: StepContext, action: GroupsTurn.() -> Unit): Step =
        GroupsTurn(state, context)
            .apply { noticePause() }
            .apply(action)
            .toStep()
}

private fun GroupsTurn.started() {
    groups = groups.copy(lastTickAt = now)
    emit(Effect.StartTimer(TimerKey.ProbePeriod, settings.probePeriod))
    selectHomes()
}

private fun GroupsTurn.timerFired(key: TimerKey) {
    when (key) {
        is TimerKey.ProbePeriod -> {
            dropRetired()
            tick()
        }
        is TimerKey.FailoverStep -> failoverStepDue(key.database)
        is TimerKey.DurabilityTimeout -> durabilityTimedOut(key.attempt)
        is TimerKey.LeadershipTimeout -> leadershipTimedOut(key.attempt)
        else -> Unit
    }
}

private fun GroupsTurn.platformAnswered(event: Event.PlatformAnswered) {
    if (event.call.owner != PartName.GROUPS) return
    groups.databases.values
        .find { it.failover.platformCall == event.call }
        ?.let { takePlatformAnswer(it, event.answer) }
}

private fun GroupsTurn.messageReceived(event: Event.PeerMessageReceived) {
    when (val message = event.message) {
        is PeerMessage.SightingRequested -> reportSighting(event.from, message)
        is PeerMessage.SightingReported -> takeSighting(event.from, message)
        is PeerMessage.GroupAnnounced -> adopt(message.database, message.term, message.primary)
        else -> Unit
    }
}

private fun GroupsTurn.signalReceived(signal: Signal) {
    when (signal) {
        is Signal.MembershipChanged, is Signal.ConfigurationChanged -> selectHomes()
        is Signal.LeavingServersListed -> listLeaving(signal.servers)
        is Signal.PauseDetected -> resume()
        is Signal.ServerObserved -> observeSession(signal)
        is Signal.ServerFailed -> serverFailed(signal.server, signal.failure, now)
        is Signal.DurabilityRequested -> wantDurability(signal)
        is Signal.LeadershipCheckRequested -> wantLeadership(signal)
        else -> Unit
    }
}

private fun GroupsTurn.observeSession(signal: Signal.ServerObserved) {
    val database: DatabaseName = state.configuration.index.groupOf(signal.status.server)?.name ?: return
    observe(database, signal.status, signal.sentAt)
}
