package dev.hibiscusreach.runtime.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/** Discards all input of a refused connection. */
internal class DiscardHandler : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        ReferenceCountUtil.release(message)
    }
}
