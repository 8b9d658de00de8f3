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
    /** Connects to [endpoint]; [adjust] sets further options, and [prepare] initializes the channel. */
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

    /** Why the connection attempt failed; null if it succeeded. After REFUSED nothing has reached the other side. */
    fun failure(connecting: ChannelFuture): ConnectionFailure? =
        when (connecting.cause()) {
            null -> null
            // ConnectTimeoutException is a subclass of ConnectException, so it is checked first.
            is ConnectTimeoutException -> ConnectionFailure.TIMED_OUT
            is ConnectException -> ConnectionFailure.REFUSED
            else -> ConnectionFailure.BROKEN
        }
}
