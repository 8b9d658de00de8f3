package dev.hibiscusreach.core.reducer

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.MonotonicTime

/** Clock readings and randomness that a part may use besides state and event. */
data class StepContext(
    val now: MonotonicTime,
    /** Time since the epoch by this host's clock, only for comparison with timestamps from callers. */
    val wallClockMillis: Long,
    /** A random number that differs for each event. */
    val random: Long,
)

/** The result of one part handling one event. */
data class Step(
    val state: ProxyState,
    val effects: List<Effect> = emptyList(),
    val signals: List<Signal> = emptyList(),
) {
    /** Runs [next] on this step's state and concatenates the effects and signals of both. */
    fun then(next: (ProxyState) -> Step): Step {
        val following = next(state)
        return Step(following.state, effects + following.effects, signals + following.signals)
    }

    /** A copy of this step with [more] effects appended. */
    fun withEffects(vararg more: Effect): Step = copy(effects = effects + more)

    /** A copy of this step with [more] signals appended. */
    fun withSignals(vararg more: Signal): Step = copy(signals = signals + more)
}

/** One part of the reducer. It reads the whole state and updates only its own slice. */
fun interface ReducerPart {
    /** Handles [event]; returns the state unchanged for events that do not concern the part. */
    fun handle(state: ProxyState, event: Event, context: StepContext): Step
}
