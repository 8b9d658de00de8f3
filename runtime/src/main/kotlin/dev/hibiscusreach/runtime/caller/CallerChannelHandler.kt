package dev.hibiscusreach.runtime.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.ReferenceCountUtil
import org.slf4j.LoggerFactory

/** Forwards the events of a Netty channel to its [CallerConnection]. */
internal class CallerChannelHandler(private val endpoint: CallerEndpoint) : ChannelInboundHandlerAdapter() {
    private lateinit var connection: CallerConnection

    /**
     * Placed before the HTTP decoder, which passes nothing on until the headers are complete, so that the receive
     * timeout starts with the first byte.
     */
    inner class InboundBytesHandler : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            connection.aggregator.bytesArrived(context)
            super.channelRead(context, message)
        }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        connection = CallerConnection(endpoint, context)
        endpoint.opened(connection)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            connection.aggregator.accept(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            is ChannelInputShutdownEvent -> connection.inputShutDown()
            is IdleStateEvent -> connection.closeIfIdle()
            else -> super.userEventTriggered(context, event)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        connection.closed()
        super.channelInactive(context)
    }

    @Deprecated("Netty declares the method as deprecated for handlers other than inbound ones")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        log.debug("caller connection failed", cause)
        context.close()
    }

    private companion object {
        val log = LoggerFactory.getLogger(CallerChannelHandler::class.java)
    }
}
