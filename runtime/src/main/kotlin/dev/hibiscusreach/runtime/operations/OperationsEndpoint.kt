package dev.hibiscusreach.runtime.operations

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.runtime.http.SocketListener
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.ReadTimeoutHandler
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** Data that the operations endpoint serves. */
interface OperationsView {
    /** Whether the event loop makes progress. */
    val isLive: Boolean

    /** Whether the load balancer should send requests here. */
    val isReady: Boolean

    /** All metrics in the Prometheus format. */
    fun metrics(): String

    /** The state as JSON. */
    fun state(): String
}

/** The HTTP endpoint for the load balancer, monitoring and operators. */
class OperationsEndpoint(private val view: OperationsView) : AutoCloseable {
    private class Page(val status: HttpResponseStatus, val type: String, val body: String)

    private var listener: Channel? = null

    /** Listens at [address]; returns the address with its actual port. */
    fun bind(group: EventLoopGroup, address: Endpoint): Endpoint {
        val channel = SocketListener.bind(group, address, Pipeline())
        listener = channel
        return SocketListener.endpoint(channel)
    }

    override fun close() {
        listener?.close()?.syncUninterruptibly()
    }

    private fun page(request: FullHttpRequest): Page =
        when {
            request.decoderResult().isFailure -> text(HttpResponseStatus.BAD_REQUEST, "malformed request")
            request.method() != HttpMethod.GET -> text(HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET is supported")
            else -> page(request.uri().substringBefore('?'))
        }

    private fun page(path: String): Page =
        when (path) {
            "/live" -> condition(view.isLive, "live", "not live")
            "/ready" -> condition(view.isReady, "ready", "not ready")
            "/metrics" -> Page(HttpResponseStatus.OK, "text/plain; version=0.0.4; charset=utf-8", view.metrics())
            "/state" -> Page(HttpResponseStatus.OK, HttpHeaderValues.APPLICATION_JSON.toString(), view.state())
            else -> text(HttpResponseStatus.NOT_FOUND, "not found; paths are /live, /ready, /metrics and /state")
        }

    private fun condition(holds: Boolean, yes: String, no: String): Page =
        if (holds) text(HttpResponseStatus.OK, yes) else text(HttpResponseStatus.SERVICE_UNAVAILABLE, no)

    private fun text(status: HttpResponseStatus, text: String) = Page(status, "text/plain; charset=utf-8", "$text\n")

    private inner class Pipeline : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(
                ReadTimeoutHandler(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                HttpServerCodec(),
                HttpObjectAggregator(MAXIMUM_REQUEST_BYTES),
                Handler(),
            )
        }
    }

    // One request for each connection: the callers are few, and there is no state to keep.
    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val page = page(request)
            val body = Unpooled.wrappedBuffer(page.body.encodeToByteArray())
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, page.status, body)
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.type)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Netty declares the method as deprecated for handlers other than inbound ones")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.debug("operations connection failed", cause)
            context.close()
        }
    }

    private companion object {
        const val READ_TIMEOUT_SECONDS = 10L
        const val MAXIMUM_REQUEST_BYTES = 64 * 1024
        val log = LoggerFactory.getLogger(OperationsEndpoint::class.java)
    }
}
