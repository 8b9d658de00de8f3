package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.model.CallerAnswer
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/**
 * Sends the answers of one connection in the order of its requests, as HTTP/1.1 pipelining requires.
 * Confined to the channel's event loop.
 */
internal class AnswerQueue(
    private val context: ChannelHandlerContext,
    private val encoder: AnswerEncoder,
    private val listener: Listener,
) {
    /** Receives notifications about answers that are sent. */
    interface Listener {
        /** Whether no request will follow those in the queue. */
        val inputEnded: Boolean

        /** Called when the last answer is written; later requests on the connection are ignored. */
        fun lastWritten()

        /** Called when the write of an answer to a request of [size] bytes completed or failed. */
        fun sent(size: Int, last: Boolean)
    }

    /** A request in the queue and, once it is known, the response to it. */
    class PendingAnswer(val size: Int, val keepAlive: Boolean) {
        var arrival: ArrivalNumber? = null
        var response: EncodedAnswer? = null
    }

    private val pending = ArrayDeque<PendingAnswer>()
    private var lastWritten = false

    /** Appends [entry] to the queue. */
    fun add(entry: PendingAnswer) = pending.addLast(entry)

    /** Sets the answer to the request [arrival]; ignored if the request is no longer queued. */
    fun answer(arrival: ArrivalNumber, identifier: String, answer: CallerAnswer) {
        pending.find { it.arrival == arrival }?.let { fill(it, identifier, answer) }
    }

    /** Sets the answer of [entry] and sends the answers at the head of the queue up to the first unanswered request. */
    fun fill(entry: PendingAnswer, identifier: String?, answer: CallerAnswer) {
        entry.response = encoder.encode(identifier, answer)
        while (!lastWritten && pending.firstOrNull()?.response != null) send(pending.removeFirst())
    }

    /** Requests without an answer. */
    fun unanswered(): List<ArrivalNumber> = pending.filter { it.response == null }.mapNotNull { it.arrival }

    /** Empties the queue and returns the total size of its requests in bytes. */
    fun clear(): Int = pending.sumOf { it.size }.also { pending.clear() }

    private fun send(entry: PendingAnswer) {
        val answer = checkNotNull(entry.response)
        lastWritten = !entry.keepAlive || (listener.inputEnded && pending.isEmpty())
        val last = lastWritten
        if (last) listener.lastWritten()
        context.writeAndFlush(response(answer, last)).addListener { listener.sent(entry.size, last) }
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1_000L

        /** Builds the HTTP response for [answer]; if [last], it announces that the connection closes. */
        fun response(answer: EncodedAnswer, last: Boolean): FullHttpResponse {
            val body = Unpooled.wrappedBuffer(answer.body.encodeToByteArray())
            val status = HttpResponseStatus.valueOf(answer.status)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            answer.retryAfterMillis?.let {
                val seconds = (it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
                response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds)
            }
            if (last) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            return response
        }
    }
}
