package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.TimedEvent
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.reducer.ProxyReducer
import dev.hibiscusreach.core.reducer.ProxySettings
import dev.hibiscusreach.core.reducer.ProxyState
import kotlin.random.Random

/** One run of a proxy: its reducer's state, its timers and its connections. */
class FakeProxy(
    val settings: ProxySettings,
    private val schedule: Schedule,
    private val random: Random,
    private val effects: (FakeProxy, Effect) -> Unit,
) {
    private val reducer = ProxyReducer()
    private val timers = mutableMapOf<TimerKey, Long>()
    private val heldBack = mutableListOf<Event>()
    private val answers = mutableMapOf<ArrivalNumber, (CallerAnswer) -> Unit>()
    private var nextTimer = 0L
    private var nextArrival = 0L

    /** The clock of this host differs from the clocks of others. */
    private val clockSkewMillis = random.nextLong(-MAXIMUM_SKEW_MILLIS, MAXIMUM_SKEW_MILLIS)

    /** The state after the latest event. */
    var state: ProxyState = ProxyState.initial(settings)
        private set

    /** Whether the process runs. */
    var isUp: Boolean = true
        private set

    /** Whether the process is paused: events wait until it goes on. */
    var isPaused: Boolean = false
        private set

    /** Whether the process ended by itself. */
    var hasExited: Boolean = false
        private set

    /** Sessions at servers by connection. */
    val sessions = mutableMapOf<ConnectionNumber, Pair<FakeServer, Long>>()

    /** Ends the process without warning. */
    fun kill() {
        isUp = false
    }

    /** Stops the process for a time; nothing it holds is closed. */
    fun pause() {
        isPaused = true
    }

    /** Lets a paused process go on with everything that arrived meanwhile. */
    fun resume() {
        isPaused = false
        val events = heldBack.toList()
        heldBack.clear()
        events.forEach(::deliver)
    }

    /** Lets the process handle [event]. */
    fun deliver(event: Event) {
        when {
            !isUp -> Unit
            isPaused -> heldBack += event
            else -> reduce(event)
        }
    }

    /** Hands a caller's request over; [reply] gets the answer. Returns the request's number. */
    fun request(request: dev.hibiscusreach.core.model.CallerRequest, reply: (CallerAnswer) -> Unit): ArrivalNumber {
        val arrival = ArrivalNumber(nextArrival++)
        answers[arrival] = reply
        deliver(Event.RequestArrived(arrival, request))
        return arrival
    }

    private fun reduce(event: Event) {
        val timed =
            TimedEvent(
                at = MonotonicTime(schedule.nowMillis + MONOTONIC_OFFSET_MILLIS * settings.self.nonce),
                wallClockMillis = WALL_CLOCK_START_MILLIS + schedule.nowMillis + clockSkewMillis,
                random = random.nextLong(),
                event = event,
            )
        val transition = reducer.reduce(state, timed)
        state = transition.state
        transition.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: Effect) {
        when (effect) {
            is Effect.StartTimer -> startTimer(effect)
            is Effect.CancelTimer -> timers.remove(effect.key)
            is Effect.AnswerCaller -> answers.remove(effect.arrival)?.invoke(effect.answer)
            is Effect.Exit -> {
                hasExited = true
                isUp = false
            }
            else -> effects(this, effect)
        }
    }

    private fun startTimer(effect: Effect.StartTimer) {
        val timer = nextTimer++
        timers[effect.key] = timer
        schedule.afterMillis(effect.delay.value) {
            if (timers[effect.key] == timer) {
                timers.remove(effect.key)
                deliver(Event.TimerFired(effect.key))
            }
        }
    }

    companion object {
        /** Start of the hosts' clocks: 2026-12-04T00:00:00Z. */
        const val WALL_CLOCK_START_MILLIS = 1_796_342_400_000L
        private const val MAXIMUM_SKEW_MILLIS = 60_000L
        private const val MONOTONIC_OFFSET_MILLIS = 1_000_003L
    }
}
