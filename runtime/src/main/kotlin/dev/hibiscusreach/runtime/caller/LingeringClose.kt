package dev.hibiscusreach.runtime.caller

import io.netty.channel.Channel
import io.netty.channel.socket.DuplexChannel
import java.util.concurrent.TimeUnit

/**
 * Closes a connection after its last answer. Closing while the caller still sends would reset the connection, and
 * the caller could lose the answer. So only the output is shut down, and input is discarded until the caller closes
 * the connection or the linger time ends.
 */
internal object LingeringClose {
    private const val LINGER_MILLIS = 1_000L

    fun begin(channel: Channel) {
        channel.config().isAutoRead = true
        if (channel is DuplexChannel && channel.isActive && !channel.isInputShutdown) {
            channel.shutdownOutput()
            channel.eventLoop().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        } else {
            channel.close()
        }
    }
}
