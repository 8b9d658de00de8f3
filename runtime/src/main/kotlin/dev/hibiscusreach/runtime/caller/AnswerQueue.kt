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

/** The answers of one connection, in the order of its requests. Used on the channel's thread. */
internal class AnswerQueue(
    private val context: ChannelHandlerContext,
    private val writer: AnswerWriter,
    private val listener: Listener,
) {
    /** Told of the answers that leave the queue. */
    interface Listener {
        /** Whether no request will follow the ones in the queue. */
        val inputEnded: Boolean

        /** The last answer is written; requests that arrive from now on are not read. */
        fun lastWritten()

        /** An answer to a request of [size] bytes was sent, or failed to be sent. */
        fun sent(size: Int, last: Boolean)
    }

    /** The place of one request. */
    class Place(val size: Int, val keepAlive: Boolean) {
        var arrival: ArrivalNumber? = null
        var response: WrittenAnswer? = null
    }

    private val places = ArrayDeque<Place>()
    private var lastWritten = false

    /** Adds a place at the end. */
    fun add(place: Place) = places.addLast(place)

    /** Fills the place of [arrival]. */
    fun answer(arrival: ArrivalNumber, identifier: String, answer: CallerAnswer) {
        places.find { it.arrival == arrival }?.let { fill(it, identifier, answer) }
    }

    /** Fills [place] and sends all answers that are not behind an open place. */
    fun fill(place: Place, identifier: String?, answer: CallerAnswer) {
        place.response = writer.write(identifier, answer)
        while (!lastWritten && places.firstOrNull()?.response != null) send(places.removeFirst())
    }

    /** Arrivals that wait for an answer. */
    fun unanswered(): List<ArrivalNumber> = places.filter { it.response == null }.mapNotNull { it.arrival }

    /** Empties the queue; returns the size of its requests. */
    fun clear(): Int = places.sumOf { it.size }.also { places.clear() }

    private fun send(place: Place) {
        val answer = checkNotNull(place.response)
        lastWritten = !place.keepAlive || (listener.inputEnded && places.isEmpty())
        val last = lastWritten
        if (last) listener.lastWritten()
        context.writeAndFlush(response(answer, last)).addListener { listener.sent(place.size, last) }
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1_000L

        /** [answer] as an HTTP response with its exact length; [last] closes the connection after it. */
        fun response(answer: WrittenAnswer, last: Boolean): FullHttpResponse {
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
