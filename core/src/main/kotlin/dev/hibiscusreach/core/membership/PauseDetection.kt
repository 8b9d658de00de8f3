package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Detects that this process did not run although its period timer was due. */
internal object PauseDetection {
    /**
     * The signal of a pause that ended with the current event, or null. Asked before every event, because after a pause
     * other events can be handled before the overdue timer.
     */
    fun detect(state: ProxyState, context: StepContext): Signal.PauseDetected? =
        state.membership.protocol.periodDue
            ?.let { context.now - it }
            ?.takeIf { it > state.settings.membership.pauseThreshold }
            ?.let { Signal.PauseDetected(it.value) }

    /** Draws no conclusions from the silence of peers, because what they sent may be unread still. */
    fun resume(state: ProxyState, context: StepContext): Step {
        val suspected = state.membership.peers.values.filter { it.condition == PeerCondition.SUSPECTED }
        val delay = state.settings.membership.suspicionTimeout
        return Step(
            state.withProtocol { copy(periodDue = context.now, probes = probes.clear()) },
            suspected.map { Effect.StartTimer(TimerKey.SuspicionTimeout(it.node), delay) },
        )
    }
}
