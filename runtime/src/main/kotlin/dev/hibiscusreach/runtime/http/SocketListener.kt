package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.model.Endpoint
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetSocketAddress

/** The process cannot listen at an address. */
class BindException(address: Endpoint, cause: Throwable) :
    Exception("cannot listen at $address: ${cause.message}", cause)

/** Opens listening sockets. */
object SocketListener {
    private const val BACKLOG = 1_024

    /**
     * Listens at [address]; [pipeline] initializes each accepted channel.
     * @throws BindException if the address cannot be bound
     */
    fun bind(group: EventLoopGroup, address: Endpoint, pipeline: ChannelInitializer<SocketChannel>): Channel {
        val bound =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(pipeline)
                .bind(InetSocketAddress(address.address, address.port))
                .awaitUninterruptibly()
        if (!bound.isSuccess) throw BindException(address, bound.cause())
        return bound.channel()
    }

    /** The address at which [channel] listens. */
    fun endpoint(channel: Channel): Endpoint {
        val address = channel.localAddress() as InetSocketAddress
        return Endpoint(address.address.hostAddress, address.port)
    }
}
