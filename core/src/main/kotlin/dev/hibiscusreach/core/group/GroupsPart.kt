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

/** Monitors the health, terms and positions of the database groups and replaces failed primaries. */
internal class GroupsPart : ReducerPart {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step =
        when (event) {
            is Event.Started -> step(state, context) { handleStart() }
            is Event.TimerFired -> step(state, context) { handleTimer(event.key) }
            is Event.ControlAnswered -> step(state, context) { handleControlAnswer(event) }
            is Event.ControlFailed -> step(state, context) { handleControlFailure(event) }
            is Event.PlatformAnswered -> step(state, context) { handlePlatformAnswer(event) }
            is Event.PeerMessageReceived -> step(state, context) { handlePeerMessage(event) }
            is Signal -> step(state, context) { handleSignal(event) }
            else -> Step(state)
        }

    private fun step(state: ProxyState, context: StepContext, action: GroupsStepBuilder.() -> Unit): Step =
        GroupsStepBuilder(state, context)
            .apply { detectPause() }
            .apply(action)
            .toStep()
}

private fun GroupsStepBuilder.handleStart() {
    groups = groups.copy(lastProbePeriodAt = now)
    emit(Effect.StartTimer(TimerKey.ProbePeriod, settings.probePeriod))
    selectHomes()
}

private fun GroupsStepBuilder.handleTimer(key: TimerKey) {
    when (key) {
        is TimerKey.ProbePeriod -> {
            dropRetiredGroups()
            runProbePeriod()
        }
        is TimerKey.FailoverStep -> handleFailoverTimer(key.database)
        is TimerKey.DurabilityTimeout -> handleDurabilityTimeout(key.attempt)
        is TimerKey.LeadershipTimeout -> handleLeadershipTimeout(key.attempt)
        else -> Unit
    }
}

private fun GroupsStepBuilder.handlePlatformAnswer(event: Event.PlatformAnswered) {
    if (event.call.owner != PartName.GROUPS) return
    groups.databases.values
        .find { it.failover.platformCall == event.call }
        ?.let { handleFailoverAnswer(it, event.answer) }
}

private fun GroupsStepBuilder.handlePeerMessage(event: Event.PeerMessageReceived) {
    when (val message = event.message) {
        is PeerMessage.SightingRequested -> reportSighting(event.from, message)
        is PeerMessage.SightingReported -> handleSighting(event.from, message)
        is PeerMessage.GroupAnnounced -> adoptPrimary(message.database, message.term, message.primary)
        else -> Unit
    }
}

private fun GroupsStepBuilder.handleSignal(signal: Signal) {
    when (signal) {
        is Signal.MembershipChanged, is Signal.ConfigurationChanged -> selectHomes()
        is Signal.LeavingServersListed -> updateLeavingServers(signal.servers)
        is Signal.PauseDetected -> resetAfterPause()
        is Signal.ServerObserved -> observeSessionStatus(signal)
        is Signal.ServerFailed -> handleServerFailure(signal.server, signal.failure, now)
        is Signal.DurabilityRequested -> awaitDurability(signal)
        is Signal.LeadershipCheckRequested -> awaitLeadership(signal)
        else -> Unit
    }
}

private fun GroupsStepBuilder.observeSessionStatus(signal: Signal.ServerObserved) {
    val database: DatabaseName = state.configuration.index.groupOf(signal.status.server)?.name ?: return
    observeStatus(database, signal.status, signal.sentAt)
}
