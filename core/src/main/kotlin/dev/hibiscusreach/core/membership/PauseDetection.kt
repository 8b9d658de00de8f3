package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/**
 * Detects that this process did not run although its period timer was due. The check is made at every event, because
 * after a pause other events can be handled before the overdue timer.
 */
internal object PauseDetection {
    fun check(state: ProxyState, context: StepContext): Step {
        val due = state.membership.protocol.periodDue
        val late = due?.let { context.now - it }
        return if (late != null && late > state.settings.membership.pauseThreshold) {
            resume(state, context).withSignals(Signal.PauseDetected(late.value))
        } else {
            Step(state)
        }
    }

    // What peers sent during the pause may be unread still, so nothing may be concluded from their silence.
    private fun resume(state: ProxyState, context: StepContext): Step {
        val suspected = state.membership.peers.values.filter { it.condition == PeerCondition.SUSPECTED }
        val delay = state.settings.membership.suspicionTimeout
        return Step(
            state.withProtocol { copy(periodDue = context.now, probes = probes.clear()) },
            suspected.map { Effect.StartTimer(TimerKey.SuspicionTimeout(it.node), delay) },
        )
    }
}
