package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import java.util.PriorityQueue

/** Running timers by key. Used by the event loop's thread only. */
class TimerService {
    private class Timer(val key: TimerKey, val due: MonotonicTime, val order: Long)

    private val queue = PriorityQueue<Timer>(compareBy({ it.due }, { it.order }))
    private val timers = HashMap<TimerKey, Timer>()
    private var started = 0L

    /** The number of running timers. */
    val size: Int get() = timers.size

    /** Queued entries, stale ones included. */
    internal val queueSize: Int get() = queue.size

    /** Starts the timer [key], due [delay] after [now]; replaces a running timer of the same key. */
    fun start(key: TimerKey, delay: Millis, now: MonotonicTime) {
        val timer = Timer(key, now + delay, started++)
        timers[key] = timer
        queue += timer
        removeStale()
    }

    /** Cancels the timer [key] if it is running. */
    fun cancel(key: TimerKey) {
        timers.remove(key)
        removeStale()
    }

    /** Removes and returns the key of the next timer that is due at [now], or null. */
    fun pollDue(now: MonotonicTime): TimerKey? {
        val next = peek()?.takeIf { it.due <= now } ?: return null
        queue.remove()
        timers.remove(next.key)
        return next.key
    }

    /** The time until the next timer is due, or null if none is running. */
    fun untilNext(now: MonotonicTime): Millis? = peek()?.let { maxOf(Millis(0), it.due - now) }

    private fun peek(): Timer? {
        while (queue.isNotEmpty() && !isCurrent(queue.element())) queue.remove()
        return queue.peek()
    }

    private fun isCurrent(timer: Timer) = timers[timer.key] === timer

    // Replaced and cancelled timers stay in the queue until they outnumber the running ones; removing each one at
    // once would cost a search of the whole queue.
    private fun removeStale() {
        if (queue.size > timers.size * 2 + STALE_ALLOWANCE) queue.removeIf { !isCurrent(it) }
    }

    private companion object {
        const val STALE_ALLOWANCE = 1_024
    }
}
