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

/** Assembles the requests of one connection from decoded HTTP messages and enforces the size and time limits. */
internal class RequestAggregator(
    private val limits: CallerLimits,
    private val budget: ByteBudget,
    private val listener: Listener,
) {
    /** Receives each request or the refusal of invalid input. */
    interface Listener {
        /** Whether an interim response would reach the caller before the answers to earlier requests. */
        val hasUnsentAnswers: Boolean

        /** Called when a request is complete. */
        fun received(request: IncomingRequest)

        /** Called when the rest of the input cannot be read; [size] bytes remain reserved in the budget. */
        fun refused(refusal: Refused, size: Int)
    }

    private val refusals = InputRefusals(limits)
    private var request: IncomingRequest? = null
    private var timeout: Future<*>? = null

    /** Whether a request has been received in part. */
    val isReceiving: Boolean get() = timeout != null

    /** Whether reading has ended: after invalid input, a close by either side, or the last answer. */
    var hasEnded = false
        private set

    /** Starts the receive timeout with the first bytes of a request. */
    fun bytesArrived(context: ChannelHandlerContext) {
        if (timeout == null && !hasEnded) {
            timeout =
                context.executor().schedule(::requestIncomplete, limits.receiveTimeout.value, TimeUnit.MILLISECONDS)
        }
    }

    /** Processes the next decoded message. */
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

    /** Refuses a request that timed out or that the caller stopped sending. */
    fun requestIncomplete() {
        refuse(refusals.incomplete())
    }

    /** Stops reading requests. */
    fun end() {
        hasEnded = true
        stopTimeout()
    }

    /** Drops a partly received request and returns its size in bytes. */
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
        } else if (HttpUtil.is100ContinueExpected(head) && !listener.hasUnsentAnswers) {
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
            else -> appendPart(request, bytes, last = content is LastHttpContent)
        }
    }

    private fun appendPart(request: IncomingRequest, bytes: ByteBuf, last: Boolean) {
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
