package dev.hibiscusreach.runtime.platform

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.runtime.adapter.PlatformClient
import dev.hibiscusreach.runtime.http.HttpClient
import dev.hibiscusreach.runtime.http.HttpOutcome
import dev.hibiscusreach.runtime.loop.EventSink
import io.netty.channel.EventLoopGroup
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Calls to the platform over HTTP/1.1 with JSON. Tries the next endpoint after a failure if a retry is safe. */
class HttpPlatformClient(
    group: EventLoopGroup,
    private val endpoints: List<Endpoint>,
    private val sink: EventSink = EventSink.Discarding,
) : PlatformClient {
    private val httpClient = HttpClient(group, MAXIMUM_RESPONSE_BYTES)

    // The endpoint that answered last is asked first.
    private val preferred = AtomicInteger()

    override fun call(effect: Effect.CallPlatform) =
        call(effect.request, effect.timeout) { sink.submit(Event.PlatformAnswered(effect.call, it)) }

    /** Makes one call; [done] is called once, within [timeout]. */
    fun call(request: PlatformCall, timeout: Millis, done: (PlatformAnswer) -> Unit) {
        Attempts(request, timeout, done).next(PlatformAnswer.Failed("no platform endpoint is configured"))
    }

    override fun close() = httpClient.close()

    private inner class Attempts(
        private val request: PlatformCall,
        private val timeout: Millis,
        private val done: (PlatformAnswer) -> Unit,
    ) {
        private val startedAt = System.nanoTime()
        private val first = preferred.get()
        private var attempted = 0

        fun next(previous: PlatformAnswer.Failed) {
            val remaining = timeout.value - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)
            if (attempted < endpoints.size && remaining > 0) attempt(remaining) else done(previous)
        }

        private fun attempt(remaining: Long) {
            val index = (first + attempted) % endpoints.size
            attempted++
            // Splits the remaining time among the endpoints, so that one that never answers leaves time for the next.
            val limit = if (request is PlatformCall.Watch) remaining else remaining / (endpoints.size - attempted + 1)
            val call = PlatformWire.httpCall(request, endpoints[index], Millis(maxOf(1, limit)))
            httpClient.call(call) { answered(index, it) }
        }

        private fun answered(index: Int, outcome: HttpOutcome) {
            val answer = PlatformWire.answer(request, outcome)
            if (answer is PlatformAnswer.Failed) {
                preferred.compareAndSet(first, (first + 1) % endpoints.size)
                if (isRetryable(outcome)) next(answer) else done(answer)
            } else {
                preferred.set(index)
                done(answer)
            }
        }

        // A put that may have taken effect must not be sent again: its second run would fail with a version conflict
        // that the first one caused. A call over the rate limit must not cause more calls.
        private fun isRetryable(outcome: HttpOutcome): Boolean =
            when (outcome) {
                is HttpOutcome.Answered ->
                    outcome.status == PlatformWire.STATUS_UNAVAILABLE && request !is PlatformCall.Put
                is HttpOutcome.TooLong -> false
                is HttpOutcome.Failed ->
                    outcome.failure == ConnectionFailure.REFUSED || request !is PlatformCall.Put
            }
    }

    private companion object {
        /** A value of one megabyte in JSON, in which a character may take several bytes. */
        const val MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024
    }
}
