package dev.hibiscusreach.core.reducer

import dev.hibiscusreach.core.configuration.ConfigurationPart
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.TimedEvent
import dev.hibiscusreach.core.group.GroupsPart
import dev.hibiscusreach.core.membership.MembershipPart
import dev.hibiscusreach.core.membership.PauseDetection
import dev.hibiscusreach.core.pool.PoolsPart
import dev.hibiscusreach.core.request.RequestsPart

/** The reducer of a proxy: a pure function that makes all decisions and returns the new state and effects. */
class ProxyReducer(
    private val parts: List<ReducerPart> =
        listOf(MembershipPart(), ConfigurationPart(), GroupsPart(), PoolsPart(), RequestsPart()),
) {
    /** Passes the event, and then all signals that it causes, to every part until no signal is pending. */
    fun reduce(state: ProxyState, timedEvent: TimedEvent): Transition {
        val context =
            StepContext(
                now = timedEvent.at,
                wallClockMillis = timedEvent.wallClockMillis,
                random = timedEvent.random,
            )
        val pending = ArrayDeque<Event>()
        // A detected pause is handled before the event, so that connections that were idle for too long are not used.
        PauseDetection.detect(state, context)?.let(pending::addLast)
        pending.addLast(timedEvent.event)
        val effects = mutableListOf<Effect>()
        var current = state
        var handled = 0
        while (pending.isNotEmpty()) {
            check(handled < MAXIMUM_SIGNALS) { "signal processing did not terminate after ${timedEvent.event}" }
            handled++
            val event = pending.removeFirst()
            for (part in parts) {
                val step = part.handle(current, event, context)
                current = step.state
                effects += step.effects
                pending += step.signals
            }
        }
        return Transition(current, effects)
    }

    private companion object {
        /** Above the number of signals that one event causes with the largest inventory; exceeding it is a defect. */
        const val MAXIMUM_SIGNALS = 100_000
    }
}
