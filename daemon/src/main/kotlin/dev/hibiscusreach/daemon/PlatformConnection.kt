package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.runtime.platform.HttpPlatformClient
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Makes calls to the platform one after the other. */
internal fun interface PlatformCalls {
    /** The answer to [request]. */
    fun call(request: PlatformCall): PlatformAnswer
}

/** Calls over the network. */
internal class PlatformConnection(endpoints: List<Endpoint>) :
    PlatformCalls,
    AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpPlatformClient(group, endpoints)

    override fun call(request: PlatformCall): PlatformAnswer {
        val answer = CompletableFuture<PlatformAnswer>()
        client.call(request, TIMEOUT) { answer.complete(it) }
        return answer.get()
    }

    override fun close() {
        client.close()
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val TIMEOUT = 5.seconds
        const val SHUTDOWN_MILLIS = 500L
    }
}
