package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.model.Endpoint
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetSocketAddress

/** A listening HTTP port. */
internal class HttpEndpoint(
    loop: EventLoopGroup,
    bind: Endpoint,
    private val routes: HttpRoutes,
    private val faults: TrafficFaults = TrafficFaults(),
) {
    private val channel: Channel =
        ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(pipeline())
            .bind(bind.address, bind.port)
            .sync()
            .channel()

    /** Where the endpoint listens; the port is the actual one if it was asked for as 0. */
    val endpoint: Endpoint = Endpoint(bind.address, (channel.localAddress() as InetSocketAddress).port)

    private fun pipeline() =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel
                    .pipeline()
                    .addLast(HttpServerCodec())
                    .addLast(HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                    .addLast(ExchangeHandler(routes, faults))
            }
        }

    private companion object {
        const val BACKLOG = 1_024

        /** Twice the platform's largest value, which leaves room for JSON escapes. */
        const val MAXIMUM_BODY_BYTES = 2 * 1_048_576
    }
}
