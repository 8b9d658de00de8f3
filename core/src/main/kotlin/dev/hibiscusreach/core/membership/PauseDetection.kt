package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Detects that this process was paused: its period timer is overdue by more than a threshold. */
internal object PauseDetection {
    /**
     * The signal of a pause that ended with the current event, or null. Called before every event, because other events
     * can be handled before the overdue timer after a pause.
     */
    fun detect(state: ProxyState, context: StepContext): Signal.PauseDetected? =
        state.membership.protocol.periodDueAt
            ?.let { context.now - it }
            ?.takeIf { it > state.settings.membership.pauseThreshold }
            ?.let { Signal.PauseDetected(it.value) }

    /** Cancels open probes and restarts suspicion timeouts, because messages of the peers may still be unread. */
    fun resume(state: ProxyState, context: StepContext): Step {
        val suspected = state.membership.peers.values.filter { it.condition == PeerCondition.SUSPECTED }
        val delay = state.settings.membership.suspicionTimeout
        return Step(
            state.withProtocol { copy(periodDueAt = context.now, probes = probes.clear()) },
            suspected.map { Effect.StartTimer(TimerKey.SuspicionTimeout(it.node), delay) },
        )
    }
}
