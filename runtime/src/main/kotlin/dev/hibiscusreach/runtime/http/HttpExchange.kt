package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.event.ConnectionFailure
import java.util.concurrent.Future
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** One [HttpCall] in progress. */
internal class HttpExchange(val call: HttpCall, private val done: (HttpOutcome) -> Unit) {
    private val startedAt = System.nanoTime()
    private var ended = false
    private var timeout: Future<*>? = null

    /** Bytes of the response that were received on the connections of the call. */
    private var receivedBytes = 0L
    private var receivedAt: Long? = null

    /** Whether the call was sent on a connection that an earlier call had used. */
    var reused = false

    /** Time left until the call's timeout, at least 1 ms. */
    val remainingMillis: Long
        get() = maxOf(1L, call.timeout.value - millisSince(startedAt))

    /** Whether to retry after a broken connection: a server may close an idle connection just as it is reused. */
    val isRetryable: Boolean get() = reused && call.repeatable && !ended

    /** Whether a long answer arrives on the connection of the call, so that other answers may be late. */
    val isReceivingLongAnswer: Boolean
        get() {
            val silence = call.answerLimit?.silence ?: call.timeout
            return receivedBytes >= LONG_ANSWER_BYTES && receivedAt?.let { millisSince(it) < silence.value } == true
        }

    /**
     * Calls [expire] on [executor] when the call has to be given up, unless it has ended before. An answer that has not
     * begun may come later while [isHeldUp], if the call limits its answer.
     */
    fun limitTime(executor: ScheduledExecutorService, isHeldUp: () -> Boolean, expire: () -> Unit) {
        val review = {
            when {
                ended -> Unit
                millisLeft() > 0 || mayBeHeldUp() && isHeldUp() -> limitTime(executor, isHeldUp, expire)
                else -> expire()
            }
        }
        timeout = executor.schedule(review, maxOf(SHORTEST_REVIEW_MILLIS, millisLeft()), TimeUnit.MILLISECONDS)
    }

    private fun mayBeHeldUp(): Boolean {
        val limit = call.answerLimit ?: return false
        return receivedAt == null && millisSince(startedAt) < limit.whole.value
    }

    /** Notes that [bytes] of the response were received. */
    fun received(bytes: Int) {
        receivedBytes += bytes
        receivedAt = System.nanoTime()
    }

    /** Completes the exchange without a response. */
    fun fail(failure: ConnectionFailure) = end(HttpOutcome.Failed(failure, receivedBytes))

    /** Completes the exchange with [outcome]; later calls have no effect. */
    fun end(outcome: HttpOutcome) {
        if (!ended) {
            ended = true
            timeout?.cancel(false)
            done(outcome)
        }
    }

    private fun millisLeft(): Long {
        val limit = call.answerLimit
        val progressAt = receivedAt
        return when {
            limit == null || progressAt == null -> call.timeout.value - millisSince(startedAt)
            else ->
                minOf(limit.silence.value - millisSince(progressAt), limit.whole.value - millisSince(startedAt))
        }
    }

    private fun millisSince(time: Long) = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - time)

    private companion object {
        /** Takes a quarter of a second at 2 Mbit/s. */
        const val LONG_ANSWER_BYTES = 64L shl 10

        const val SHORTEST_REVIEW_MILLIS = 10L
    }
}
