package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpContentException
import org.slf4j.LoggerFactory
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** A client connection that carries one exchange at a time. */
internal class HttpConnection(private val endpoint: Endpoint, private val listener: Listener) :
    SimpleChannelInboundHandler<FullHttpResponse>() {
    /** Receives the events of the connection, on the channel's event loop. */
    interface Listener {
        /** The TCP connection is established. */
        fun connected(connection: HttpConnection)

        /** A complete response was received; [reusable] tells whether the server keeps the connection open. */
        fun answered(connection: HttpConnection, answer: HttpOutcome.Answered, reusable: Boolean)

        /** The connection could not be established or was closed. Called once, after all other events. */
        fun closed(connection: HttpConnection, failure: ConnectionFailure)
    }

    private lateinit var channel: Channel

    /** Closes the connection when it has been idle for too long; set by the owner. */
    var idleTimeout: Future<*>? = null

    /** Is told the number of bytes whenever some of a response arrive; set by the owner. */
    var onReceived: (Int) -> Unit = {}
    private var finished = false

    /** Whether a response was longer than the limit, for which the connection is closed. */
    var receivedTooMuch = false
        private set

    /** Starts to connect; the listener is notified of the result. */
    fun connect(
        group: EventLoopGroup,
        timeoutMillis: Int,
        maximumResponseBytes: Int,
        receiveBufferBytes: Int? = null,
    ) {
        val adjust: Bootstrap.() -> Unit = { receiveBufferBytes?.let { option(ChannelOption.SO_RCVBUF, it) } }
        val connecting =
            SocketConnector.connect(group, endpoint, timeoutMillis, adjust) { channel ->
                val aggregator = HttpObjectAggregator(maximumResponseBytes, true)
                channel.pipeline().addLast(Receipts(), HttpClientCodec(), aggregator, this)
            }
        channel = connecting.channel()
        connecting.addListener { connectEnded(connecting) }
    }

    /**
     * Sends [message]; the connection is closed if the write fails. If [resetsOnClose], closing the connection resets
     * it, which drops the bytes that have not been delivered.
     */
    fun send(message: HttpMessage, resetsOnClose: Boolean = false) {
        channel.config().setOption(ChannelOption.SO_LINGER, if (resetsOnClose) 0 else LINGER_DISABLED)
        val content = Unpooled.wrappedBuffer(message.body.encodeToByteArray())
        val method = HttpMethod.valueOf(message.method)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, message.path, content)
        request.headers().set(HttpHeaderNames.HOST, endpoint.toString())
        if (message.body.isNotEmpty()) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        }
        message.headers.forEach { (name, value) -> request.headers().set(name, value) }
        channel.writeAndFlush(request).addListener { if (!it.isSuccess) channel.close() }
    }

    /** Runs [action] on the channel's event loop. */
    fun execute(action: () -> Unit) = channel.eventLoop().execute(action)

    /** Runs [action] on the channel's event loop after [delay]. */
    fun schedule(delay: Millis, action: () -> Unit): Future<*> =
        channel.eventLoop().schedule(action, delay.value, TimeUnit.MILLISECONDS)

    /** Closes the connection; the listener is notified. */
    fun close() {
        channel.close()
    }

    private inner class Receipts : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is ByteBuf) onReceived(message.readableBytes())
            context.fireChannelRead(message)
        }
    }

    override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
        if (response.decoderResult().isFailure) {
            context.close()
        } else {
            val body = response.content().toString(Charsets.UTF_8)
            val headers = response.headers().associate { it.key to it.value }
            val answer = HttpOutcome.Answered(response.status().code(), body, headers)
            listener.answered(this, answer, HttpUtil.isKeepAlive(response))
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = finish(ConnectionFailure.BROKEN)

    @Deprecated("Netty declares the method as deprecated for handlers other than inbound ones")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        log.debug("connection to {} failed", endpoint, cause)
        if (cause is TooLongHttpContentException) receivedTooMuch = true
        context.close()
    }

    private fun connectEnded(connecting: ChannelFuture) {
        val failure = SocketConnector.failure(connecting)
        if (failure == null) listener.connected(this) else finish(failure)
    }

    private fun finish(failure: ConnectionFailure) {
        if (!finished) {
            finished = true
            listener.closed(this, failure)
        }
    }

    private companion object {
        /** The kernel goes on to deliver what was sent before the connection was closed. */
        const val LINGER_DISABLED = -1

        val log = LoggerFactory.getLogger(HttpConnection::class.java)
    }
}
