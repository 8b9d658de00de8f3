package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.CallerAnswer.Refused
import dev.hibiscusreach.core.model.ErrorKind
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.flow.FlowControlHandler
import io.netty.handler.timeout.IdleStateHandler
import io.netty.handler.timeout.WriteTimeoutHandler
import java.util.concurrent.TimeUnit

/** Sets up the channel pipeline of a caller connection, or refuses it above the connection limit. */
internal class CallerPipeline(private val endpoint: CallerEndpoint) : ChannelInitializer<SocketChannel>() {
    private val limits = endpoint.limits

    override fun initChannel(channel: SocketChannel) {
        if (endpoint.acceptsConnections) accept(channel) else refuse(channel)
    }

    private fun accept(channel: SocketChannel) {
        val decoder =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maximumHeaderBytes)
                .setMaxHeaderSize(limits.maximumHeaderBytes)
                .setMaxChunkSize(CHUNK_BYTES)
        val handler = CallerChannelHandler(endpoint)
        channel.pipeline().addLast(
            IdleStateHandler(0, 0, limits.idleTimeout.value, TimeUnit.MILLISECONDS),
            WriteTimeoutHandler(limits.sendTimeout.value, TimeUnit.MILLISECONDS),
            handler.InboundBytesHandler(),
            HttpServerCodec(decoder),
            FlowControlHandler(),
            handler,
        )
    }

    private fun refuse(channel: SocketChannel) {
        channel.pipeline().addLast(HttpResponseEncoder(), DiscardHandler())
        val refusal = Refused(ErrorKind.OVERLOADED, "too many connections", RETRY_AFTER_MILLIS)
        val response = AnswerQueue.response(endpoint.encoder.encode(identifier = null, refusal), last = true)
        channel.eventLoop().execute {
            channel.writeAndFlush(response).addListener { LingeringClose.begin(channel) }
        }
    }

    private companion object {
        const val CHUNK_BYTES = 8 * 1024
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
