package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.TimedEvent
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.reducer.ProxyReducer
import dev.hibiscusreach.core.reducer.ProxySettings
import dev.hibiscusreach.core.reducer.ProxyState
import kotlin.random.Random

/** The real reducer of one proxy with its timers in simulated time. */
internal class SimulatedProxy(
    val settings: ProxySettings,
    private val time: SimulatedTime,
    private val random: Random,
    private val perform: (SimulatedProxy, Effect) -> Unit,
) {
    private val reducer = ProxyReducer()
    private val timers = mutableMapOf<TimerKey, Long>()
    private var nextTimer = 0L

    /** Collects the cost of every step while it is set. */
    var meter: CostMeter? = null

    var state: ProxyState = ProxyState.initial(settings)
        private set

    /** Lets the reducer handle [event] and performs the effects. */
    fun deliver(event: Event) {
        val timed = timed(event)
        val transition = meter?.measure { reducer.reduce(state, timed) } ?: reducer.reduce(state, timed)
        state = transition.state
        transition.effects.forEach(::carryOut)
    }

    /** The cost of handling [event] in the present state [repetitions] times; the state stays as it is. */
    fun cost(event: Event, repetitions: Int): CostMeter {
        val cost = CostMeter()
        repeat(repetitions) {
            val timed = timed(event)
            cost.measure { reducer.reduce(state, timed) }
        }
        return cost
    }

    private fun timed(event: Event) =
        TimedEvent(MonotonicTime(time.nowMillis), WALL_CLOCK_MILLIS + time.nowMillis, random.nextLong(), event)

    private fun carryOut(effect: Effect) {
        when (effect) {
            is Effect.StartTimer -> start(effect)
            is Effect.CancelTimer -> timers.remove(effect.key)
            else -> perform(this, effect)
        }
    }

    private fun start(effect: Effect.StartTimer) {
        val timer = nextTimer++
        timers[effect.key] = timer
        time.afterMillis(effect.delay.value) {
            if (timers.remove(effect.key, timer)) deliver(Event.TimerFired(effect.key))
        }
    }

    companion object {
        /** Start of the simulated wall clock: 2026-12-04T00:00:00Z. */
        const val WALL_CLOCK_MILLIS = 1_796_342_400_000L
    }
}
