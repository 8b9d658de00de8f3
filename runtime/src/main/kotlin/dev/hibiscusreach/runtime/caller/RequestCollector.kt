package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.CallerAnswer.Refused
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Joins the parts of each request of one connection, within the limits of size and time. */
internal class RequestCollector(
    private val limits: CallerLimits,
    private val budget: ByteBudget,
    private val listener: Listener,
) {
    /** Told of each request. */
    interface Listener {
        /** A request arrived whole. */
        fun received(request: IncomingRequest)

        /** The input cannot be read any further; [size] bytes of it are still in the budget. */
        fun refused(refusal: Refused, size: Int)
    }

    private val refusals = InputRefusals(limits)
    private var request: IncomingRequest? = null
    private var timeout: Future<*>? = null

    /** Whether a request arrived in part. */
    val isReceiving: Boolean get() = timeout != null

    /** Set once no further request is read: after a fault, a close by either side, or a last answer. */
    var hasEnded = false
        private set

    /** Starts the time limit of a request with its first bytes. */
    fun bytesArrived(context: ChannelHandlerContext) {
        if (timeout == null && !hasEnded) {
            timeout =
                context.executor().schedule(::interrupted, limits.receiveTimeout.value, TimeUnit.MILLISECONDS)
        }
    }

    /** Takes the next part. */
    fun accept(context: ChannelHandlerContext, message: Any) {
        val failure = (message as? HttpObject)?.decoderResult()?.cause()
        if (hasEnded) return
        if (failure != null) {
            refuse(refusals.decoding(failure))
        } else {
            if (message is HttpRequest) begin(context, message)
            if (message is HttpContent) request?.let { append(it, message) }
        }
    }

    /** The request did not arrive whole in time, or the caller stopped sending. */
    fun interrupted() {
        refuse(refusals.incomplete())
    }

    /** Reads no further request. */
    fun end() {
        hasEnded = true
        stopTimeout()
    }

    /** Drops a request that arrived in part; returns its size. */
    fun clear(): Int {
        val size = request?.size ?: 0
        request = null
        return size
    }

    private fun begin(context: ChannelHandlerContext, head: HttpRequest) {
        bytesArrived(context)
        request = IncomingRequest(head)
        if (HttpUtil.getContentLength(head, 0L) > limits.maximumBodyBytes) {
            refuse(refusals.tooLarge())
        } else if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }
    }

    private fun append(request: IncomingRequest, content: HttpContent) {
        val bytes = content.content()
        when {
            request.size + bytes.readableBytes() > limits.maximumBodyBytes -> refuse(refusals.tooLarge())
            !budget.reserve(bytes.readableBytes()) -> refuse(refusals.overloaded())
            else -> take(request, bytes, last = content is LastHttpContent)
        }
    }

    private fun take(request: IncomingRequest, bytes: ByteBuf, last: Boolean) {
        request.append(bytes)
        if (last) {
            this.request = null
            stopTimeout()
            listener.received(request)
        }
    }

    private fun stopTimeout() {
        timeout?.cancel(false)
        timeout = null
    }

    private fun refuse(refusal: Refused) {
        end()
        listener.refused(refusal, clear())
    }
}
