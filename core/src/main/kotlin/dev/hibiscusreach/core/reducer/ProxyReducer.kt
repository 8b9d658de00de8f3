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

/** The pure reducer of a proxy: all decisions are made here, and nothing is done but returning state and effects. */
class ProxyReducer(
    private val parts: List<ReducerPart> =
        listOf(MembershipPart(), ConfigurationPart(), GroupsPart(), PoolsPart(), RequestsPart()),
) {
    /** Lets every part handle the event, then the signals that follow from it, until none is left. */
    fun reduce(state: ProxyState, timedEvent: TimedEvent): Transition {
        val context =
            StepContext(
                now = timedEvent.at,
                wallClockMillis = timedEvent.wallClockMillis,
                random = timedEvent.random,
            )
        val pending = ArrayDeque<Event>()
        // A pause is handled before the event, so that nothing is done with connections that were idle for too long.
        PauseDetection.detect(state, context)?.let(pending::addLast)
        pending.addLast(timedEvent.event)
        val effects = mutableListOf<Effect>()
        var current = state
        var handled = 0
        while (pending.isNotEmpty()) {
            check(handled < MAXIMUM_SIGNALS) { "signals do not come to an end after ${timedEvent.event}" }
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
        /** More signals than one event of the largest inventory leads to; reaching it is a defect. */
        const val MAXIMUM_SIGNALS = 100_000
    }
}
