package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.TimedEvent
import dev.hibiscusreach.core.reducer.ProxyReducer
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.runtime.adapter.Adapters
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** The single thread that owns the proxy state: passes events to the reducer and effects to the adapters. */
class EventLoop(
    initial: ProxyState,
    private val clock: ProxyClock,
    private val reducer: ProxyReducer = ProxyReducer(),
) : EventSink,
    AutoCloseable {
    private val log = LoggerFactory.getLogger(EventLoop::class.java)
    private val isolator = FailureIsolator(log)
    private val queue = LinkedBlockingQueue<Event>()
    private val timers = TimerService()
    private val exit = CountDownLatch(1)
    private var thread: Thread? = null
    private var listeners: List<LoopListener> = emptyList()

    @Volatile
    private var running = true

    /** The state after the latest event; readable from any thread. */
    @Volatile
    var state: ProxyState = initial
        private set

    @Volatile
    private var lastIterationAt = clock.now()

    /** Whether the thread started an iteration within the last [STALLED_AFTER_MILLIS]. */
    val isAlive: Boolean get() = (clock.now() - lastIterationAt).value < STALLED_AFTER_MILLIS

    /** Number of queued events. */
    val queueLength: Int get() = queue.size

    override val isCongested: Boolean get() = queue.size > CONGESTED_LENGTH

    /** Starts the thread with [Event.Started] as the first event. */
    fun start(adapters: Adapters, listeners: List<LoopListener> = emptyList()) {
        this.listeners = listeners
        val effects = EffectHandler(timers, clock, adapters, onExit = exit::countDown)
        thread = thread(name = "event-loop", isDaemon = true) { run(effects) }
    }

    override fun submit(event: Event) {
        queue.add(event)
    }

    /** Waits until the graceful shutdown is complete; false if that took longer than [timeoutMillis]. */
    fun awaitExit(timeoutMillis: Long): Boolean = exit.await(timeoutMillis, TimeUnit.MILLISECONDS)

    override fun close() {
        running = false
        thread?.interrupt()
        thread?.join(CLOSE_TIMEOUT_MILLIS)
    }

    private fun run(effects: EffectHandler) {
        reduce(Event.Started, effects)
        while (running) {
            try {
                lastIterationAt = clock.now()
                fireTimers(effects)
                next()?.let { reduce(it, effects) }
            } catch (interruption: InterruptedException) {
                log.debug("event loop interrupted", interruption)
                running = false
            }
        }
    }

    // Due timers come before queued events, so that a process that was paused notices it before it handles anything
    // that arrived in the meantime.
    private fun fireTimers(effects: EffectHandler) {
        val now = clock.now()
        generateSequence { timers.pollDue(now) }.forEach { reduce(Event.TimerFired(it), effects) }
    }

    private fun next(): Event? {
        val wait = timers.untilNext(clock.now())?.value ?: MAXIMUM_WAIT_MILLIS
        return queue.poll(minOf(wait, MAXIMUM_WAIT_MILLIS), TimeUnit.MILLISECONDS)
    }

    private fun reduce(event: Event, effects: EffectHandler) {
        val startedAt = System.nanoTime()
        isolator.handle(event) {
            val timed = TimedEvent(clock.now(), clock.wallClockMillis(), clock.random(), it)
            val transition = reducer.reduce(state, timed)
            val before = state
            state = transition.state
            transition.effects.forEach { effect -> isolator.carryOut(effect, effects::handle) }
            notifyListeners(before, transition.state)
        }
        listeners.forEach { it.reduced(event, System.nanoTime() - startedAt) }
    }

    private fun notifyListeners(before: ProxyState, after: ProxyState) {
        if (before.drainPhase != after.drainPhase) listeners.forEach { it.drainAdvanced(after.drainPhase) }
        val generation = after.configuration.index.generation
        if (before.configuration.index.generation != generation) {
            listeners.forEach { it.configurationChanged(generation) }
        }
    }

    private companion object {
        const val MAXIMUM_WAIT_MILLIS = 1_000L
        const val CONGESTED_LENGTH = 10_000
        const val CLOSE_TIMEOUT_MILLIS = 2_000L

        /** Several times the longest wait of an iteration, so that a short pause of the process is no stall. */
        const val STALLED_AFTER_MILLIS = 10_000L
    }
}
