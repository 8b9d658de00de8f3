package dev.hibiscusreach.runtime.http

import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** One [HttpCall] in progress. */
internal class HttpExchange(val call: HttpCall, private val done: (HttpOutcome) -> Unit) {
    private val startedAt = System.nanoTime()
    private var ended = false
    var timeout: Future<*>? = null

    /** Whether the call was sent on a connection that had carried another one before. */
    var reused = false

    /** Time left for the call, at least a millisecond. */
    val remainingMillis: Long
        get() = maxOf(1L, call.timeout.value - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt))

    /** A server may close an idle connection at the moment at which it is used again. */
    val mayBeSentAgain: Boolean get() = reused && call.repeatable && !ended

    /** Reports [outcome], unless another one was reported before. */
    fun end(outcome: HttpOutcome) {
        if (!ended) {
            ended = true
            timeout?.cancel(false)
            done(outcome)
        }
    }
}
