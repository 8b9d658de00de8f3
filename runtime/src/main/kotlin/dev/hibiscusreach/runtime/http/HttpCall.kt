package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis

/** An HTTP request without its destination. */
class HttpMessage(
    val method: String,
    val path: String,
    val body: String = "",
    val headers: Map<String, String> = emptyMap(),
)

/** One HTTP/1.1 request to [endpoint]. */
class HttpCall(
    val endpoint: Endpoint,
    val message: HttpMessage,
    val timeout: Millis,
    /** Whether the request may safely be sent again if its connection breaks. */
    val repeatable: Boolean = true,
    /**
     * Whether the request may reach the endpoint after the call has ended without an answer. If not, its connection is
     * reset, also by the end of the process, so that bytes which a partition holds up are dropped. A request that has
     * arrived before is not withdrawn.
     */
    val mayArriveLate: Boolean = true,
    /** How long an answer that has begun may take; null if all of it has to arrive within [timeout]. */
    val answerLimit: AnswerLimit? = null,
)

/**
 * Limits on an answer that has begun to arrive. A long answer on a slow link takes its time; a connection that has gone
 * silent is left after [silence].
 */
class AnswerLimit(
    /** Longest time between two bytes of the answer. */
    val silence: Millis,
    /** Longest time for the whole call. */
    val whole: Millis,
)

/** Makes HTTP calls. */
fun interface HttpCaller {
    /** Makes [call]; [done] is called once, within the call's timeout or the limits on its answer. */
    fun call(call: HttpCall, done: (HttpOutcome) -> Unit)
}

/** How an [HttpCall] ended. */
sealed interface HttpOutcome {
    /** A complete response was received. */
    data class Answered(
        val status: Int,
        val body: String,
        /** The header fields; their names keep the case in which they were sent. */
        val headers: Map<String, String> = emptyMap(),
    ) : HttpOutcome {
        /** The value of a header field; names are compared without regard to case. */
        fun header(name: String): String? = headers.entries.find { it.key.equals(name, ignoreCase = true) }?.value
    }

    /** The response is longer than [maximumBytes]; the request was carried out. */
    data class TooLong(val maximumBytes: Int) : HttpOutcome

    /** No complete response was received, but [receivedBytes] of one. */
    data class Failed(val failure: ConnectionFailure, val receivedBytes: Long = 0) : HttpOutcome
}
