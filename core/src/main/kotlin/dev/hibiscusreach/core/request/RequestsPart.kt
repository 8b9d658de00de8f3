package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.reducer.Part
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Carries requests from arrival to answer. */
internal class RequestsPart(private val views: RequestViews = SliceViews) : Part {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step {
        val turn = Turn(state, context, views)
        when (event) {
            is Event.RequestArrived -> turn.arrive(event)
            is Event.CallerDisconnected -> turn.disconnect(event.arrival)
            is Event.SessionAnswered -> turn.answered(event)
            is Event.PeerMessageReceived -> turn.received(event)
            is Event.PeerUnreachable -> turn.losePeer(event.peer)
            is Event.TimerFired -> turn.timerFired(event.key)
            is Event.DrainRequested -> turn.startDrain()
            is Signal -> turn.signalled(event)
            else -> Unit
        }
        return turn.toStep()
    }
}

private fun Turn.received(event: Event.PeerMessageReceived) {
    noteReachable(event.from)
    when (val message = event.message) {
        is PeerMessage.ForwardedRequest -> arrive(event.from, message)
        is PeerMessage.ForwardedAnswer -> answeredByPeer(event.from, message)
        else -> Unit
    }
}

private fun Turn.timerFired(key: TimerKey) {
    when (key) {
        is TimerKey.RequestDeadline -> deadlineReached(key.arrival)
        is TimerKey.RequestStep -> stepOver(key.arrival)
        is TimerKey.TransactionTimeout -> transactionTimeout(key.transaction)
        is TimerKey.DrainStep -> drainStep()
        else -> Unit
    }
}

private fun Turn.signalled(signal: Signal) {
    when (signal) {
        is Signal.ConnectionGranted -> granted(signal)
        is Signal.ConnectionDenied -> denied(signal)
        is Signal.ConnectionLost -> connectionLost(signal)
        is Signal.DurabilityReached -> durabilityReached(signal.attempt)
        is Signal.DurabilityNotReached -> notVerified(signal.attempt)
        is Signal.LeadershipConfirmed -> leadershipConfirmed(signal.attempt)
        is Signal.LeadershipNotConfirmed -> notVerified(signal.attempt)
        is Signal.GroupObserved -> reconsiderWaiting(signal.database)
        is Signal.PrimaryChanged -> primaryChanged(signal)
        is Signal.PeerGone -> losePeer(signal.node)
        // The other parts handle the signal before this one, so that their effects come before the exit.
        is Signal.DrainAdvanced -> if (signal.phase == DrainPhase.FINISHED) emit(Effect.Exit)
        else -> Unit
    }
}
