package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.Endpoint
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.ConnectException
import java.net.InetSocketAddress

/** Opens TCP connections. */
object SocketConnector {
    /** Connects to [endpoint]; [adjust] sets further options, and [prepare] gets the channel before it is used. */
    fun connect(
        group: EventLoopGroup,
        endpoint: Endpoint,
        timeoutMillis: Int,
        adjust: Bootstrap.() -> Unit = {},
        prepare: (SocketChannel) -> Unit,
    ): ChannelFuture {
        val pipeline =
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = prepare(channel)
            }
        return Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .option(ChannelOption.TCP_NODELAY, true)
            .apply(adjust)
            .handler(pipeline)
            .connect(InetSocketAddress(endpoint.address, endpoint.port))
    }

    /** Why a connection could not be established; null if it is. Only a refusal tells that nothing listens there. */
    fun failure(connecting: ChannelFuture): ConnectionFailure? =
        when (connecting.cause()) {
            null -> null
            // A time-out is a ConnectException as well.
            is ConnectTimeoutException -> ConnectionFailure.TIMED_OUT
            is ConnectException -> ConnectionFailure.REFUSED
            else -> ConnectionFailure.BROKEN
        }
}
