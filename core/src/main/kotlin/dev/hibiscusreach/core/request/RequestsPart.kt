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

/** Carries requests from arrival to answer. */
internal class RequestsPart(private val views: RequestViews = SliceViews) : ReducerPart {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step {
        val builder = StepBuilder(state, context, views)
        when (event) {
            is Event.RequestArrived -> builder.arrive(event)
            is Event.CallerDisconnected -> builder.disconnect(event.arrival)
            is Event.SessionAnswered -> builder.answered(event)
            is Event.PeerMessageReceived -> builder.received(event)
            is Event.PeerUnreachable -> builder.peerLost(event.peer)
            is Event.TimerFired -> builder.timerFired(event.key)
            is Event.DrainRequested -> builder.startDrain()
            is Signal -> builder.signalled(event)
            else -> Unit
        }
        return builder.toStep()
    }
}

private fun StepBuilder.received(event: Event.PeerMessageReceived) {
    noteReachable(event.from)
    when (val message = event.message) {
        is PeerMessage.ForwardedRequest -> arrive(event.from, message)
        is PeerMessage.ForwardedAnswer -> answeredByPeer(event.from, message)
        else -> Unit
    }
}

private fun StepBuilder.timerFired(key: TimerKey) {
    when (key) {
        is TimerKey.RequestDeadline -> deadlineReached(key.arrival)
        is TimerKey.RequestStep -> stepOver(key.arrival)
        is TimerKey.TransactionTimeout -> transactionTimeout(key.transaction)
        is TimerKey.DrainStep -> drainStep()
        else -> Unit
    }
}

private fun StepBuilder.signalled(signal: Signal) {
    when (signal) {
        is Signal.ConnectionGranted -> granted(signal)
        is Signal.ConnectionDenied -> denied(signal)
        is Signal.ConnectionLost -> connectionLost(signal)
        is Signal.DurabilityReached -> durabilityReached(signal.attempt)
        is Signal.DurabilityNotReached -> notVerified(signal.attempt)
        is Signal.LeadershipConfirmed -> leadershipConfirmed(signal.attempt)
        is Signal.LeadershipNotConfirmed -> notVerified(signal.attempt)
        is Signal.GroupStatusChanged -> reconsiderWaiting(signal.database)
        is Signal.PrimaryChanged -> primaryChanged(signal)
        is Signal.PeerGone -> peerLost(signal.node)
        // The other parts handle the signal before this one, so that their effects come before the exit.
        is Signal.DrainPhaseChanged -> if (signal.phase == DrainPhase.FINISHED) emit(Effect.Exit)
        else -> Unit
    }
}
