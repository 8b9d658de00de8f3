package dev.hibiscusreach.standins.network

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import java.util.concurrent.TimeUnit

/** Passes the requests of one connection to [routes] one after another, so that pipelined answers keep their order. */
internal class ExchangeHandler(
    private val routes: HttpRoutes,
    private val faults: TrafficFaults,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private class Waiting(val request: HttpRequestData, val keepAlive: Boolean)

    private val connection = ConnectionNumbers.next()
    private val waiting = ArrayDeque<Waiting>()
    private var busy = false

    // A connection that has lost traffic stays silent, so that no answer is taken for that of a lost request.
    private var lost = false

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        if (isLost()) return
        waiting.addLast(Waiting(request.toData(), HttpUtil.isKeepAlive(request)))
        handleNext(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        routes.closed(connection)
        super.channelInactive(context)
    }

    @Deprecated("declared so by Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun handleNext(context: ChannelHandlerContext) {
        if (busy) return
        val next = waiting.removeFirstOrNull() ?: return
        busy = true
        val exchange = HttpExchange(connection, next.request) { reply -> answer(context, reply, next.keepAlive) }
        later(context, faults.latencyMillis) { routes.handle(exchange) }
    }

    private fun answer(context: ChannelHandlerContext, reply: HttpReply, keepAlive: Boolean) =
        later(context, faults.latencyMillis + faults.slowMillis) {
            busy = false
            when {
                isLost() -> Unit
                reply is HttpReply.Response -> write(context, reply, keepAlive)
                else -> context.close()
            }
        }

    private fun write(context: ChannelHandlerContext, reply: HttpReply.Response, keepAlive: Boolean) {
        val content = Unpooled.wrappedBuffer(reply.body.encodeToByteArray())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status, content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        val close = reply.close || !keepAlive
        if (close) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = context.writeAndFlush(response)
        if (close) written.addListener(ChannelFutureListener.CLOSE) else handleNext(context)
    }

    private fun isLost(): Boolean {
        lost = lost || faults.drops(connection)
        return lost
    }

    private fun later(context: ChannelHandlerContext, delayMillis: Long, action: () -> Unit) {
        if (delayMillis <= 0) action() else context.executor().schedule(action, delayMillis, TimeUnit.MILLISECONDS)
    }
}

private fun FullHttpRequest.toData(): HttpRequestData {
    val target = QueryStringDecoder(uri())
    return HttpRequestData(
        method = method().name(),
        path = target.path(),
        query = target.parameters().mapValues { it.value.first() },
        ifMatch = headers().get(HttpHeaderNames.IF_MATCH)?.trim('"'),
        requestId = headers().get("Hibiscusreach-Request-Id"),
        body = content().toString(Charsets.UTF_8),
    )
}
