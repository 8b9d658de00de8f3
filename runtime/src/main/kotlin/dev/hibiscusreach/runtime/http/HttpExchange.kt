package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.event.ConnectionFailure
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** One [HttpCall] in progress. */
internal class HttpExchange(val call: HttpCall, private val done: (HttpOutcome) -> Unit) {
    private val startedAt = System.nanoTime()
    private var ended = false
    var timeout: Future<*>? = null

    /** Bytes of the response that were received on the connections of the call. */
    private var receivedBytes = 0L

    /** Whether the call was sent on a connection that an earlier call had used. */
    var reused = false

    /** Time left until the call's timeout, at least 1 ms. */
    val remainingMillis: Long
        get() = maxOf(1L, call.timeout.value - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt))

    /** Whether to retry after a broken connection: a server may close an idle connection just as it is reused. */
    val isRetryable: Boolean get() = reused && call.repeatable && !ended

    /** Notes that [bytes] of the response were received. */
    fun received(bytes: Int) {
        receivedBytes += bytes
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
}
