package dev.hibiscusreach.runtime

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit

/** Runs [action] with a Netty event loop group of one thread. */
internal fun <T> withNetwork(action: (EventLoopGroup) -> T): T {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    return try {
        action(group)
    } finally {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}
