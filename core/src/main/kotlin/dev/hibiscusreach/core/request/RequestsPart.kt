package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Handles requests from their arrival to their answer, interactive transactions and the graceful shutdown. */
internal class RequestsPart(private val views: RequestViews = SliceViews) : ReducerPart {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step {
        val builder = StepBuilder(state, context, views)
        when (event) {
            is Event.RequestArrived -> builder.onRequestArrived(event)
            is Event.CallerDisconnected -> builder.onCallerDisconnected(event.arrival)
            is Event.SessionAnswered -> builder.onSessionAnswered(event)
            is Event.PeerMessageReceived -> builder.onPeerMessage(event)
            is Event.PeerUnreachable -> builder.onPeerLost(event.peer)
            is Event.TimerFired -> builder.onTimerFired(event.key)
            is Event.DrainRequested -> builder.onDrainRequested()
            is Signal -> builder.onSignal(event)
            else -> Unit
        }
        return builder.toStep()
    }
}

private fun StepBuilder.onPeerMessage(event: Event.PeerMessageReceived) {
    markReachable(event.from)
    when (val message = event.message) {
        is PeerMessage.ForwardedRequest -> onForwardedRequest(event.from, message)
        is PeerMessage.ForwardedAnswer -> onForwardedAnswer(event.from, message)
        else -> Unit
    }
}

private fun StepBuilder.onTimerFired(key: TimerKey) {
    when (key) {
        is TimerKey.RequestDeadline -> onRequestDeadline(key.arrival)
        is TimerKey.RequestStep -> onRequestStepTimeout(key.arrival)
        is TimerKey.TransactionTimeout -> onTransactionTimeout(key.transaction)
        is TimerKey.DrainStep -> onDrainStep()
        else -> Unit
    }
}

private fun StepBuilder.onSignal(signal: Signal) {
    when (signal) {
        is Signal.ConnectionGranted -> onConnectionGranted(signal)
        is Signal.ConnectionDenied -> onConnectionDenied(signal)
        is Signal.ConnectionLost -> onConnectionLost(signal)
        is Signal.DurabilityReached -> onDurabilityReached(signal.attempt)
        is Signal.DurabilityNotReached -> onVerificationFailed(signal.attempt)
        is Signal.LeadershipConfirmed -> onLeadershipConfirmed(signal.attempt)
        is Signal.LeadershipNotConfirmed -> onVerificationFailed(signal.attempt)
        is Signal.GroupStatusChanged -> reconsiderWaiting(signal.database)
        is Signal.PrimaryChanged -> onPrimaryChanged(signal)
        is Signal.PeerGone -> onPeerLost(signal.node)
        // The other parts handle the signal before this part, so that their effects precede the exit.
        is Signal.DrainPhaseChanged -> if (signal.phase == DrainPhase.FINISHED) emit(Effect.Exit)
        else -> Unit
    }
}
