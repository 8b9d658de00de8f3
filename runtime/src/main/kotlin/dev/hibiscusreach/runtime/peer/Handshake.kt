package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.PeerUpdate
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException

/** Exchanges the first frames of a link, in which both sides state their version and identity. */
internal class Handshake(private val settings: PeerLinkSettings, private val self: () -> PeerUpdate) {
    /** The result of a successful handshake. */
    class Completed(val socket: FrameSocket, val remote: PeerUpdate)

    /** Connects and introduces both sides to each other; null if that fails. */
    suspend fun open(connect: suspend () -> FrameSocket): Completed? {
        val socket =
            try {
                withTimeoutOrNull(settings.connectTimeout.value) { connect() }
            } catch (failure: IOException) {
                log.debug("connecting to a peer failed", failure)
                null
            } catch (failure: IllegalArgumentException) {
                log.warn("invalid peer address", failure)
                null
            }
        return socket?.let { accept(it) }
    }

    /** Introduces both sides of [socket] to each other; null, with the socket closed, if that fails. */
    suspend fun accept(socket: FrameSocket): Completed? {
        val remote =
            try {
                withTimeoutOrNull(settings.handshakeTimeout.value) { exchange(socket) }
            } catch (failure: IOException) {
                log.debug("peer handshake failed", failure)
                null
            } catch (failure: MalformedFrameException) {
                log.warn("link from {} rejected: {}", socket.remoteAddress, failure.message)
                null
            } catch (failure: ProtocolVersionMismatchException) {
                log.warn("link from {} rejected: {}", socket.remoteAddress, failure.message)
                null
            }
        if (remote == null) socket.close()
        return remote?.let { Completed(socket, it) }
    }

    private suspend fun exchange(socket: FrameSocket): PeerUpdate {
        socket.write(LinkCodec.encode(Hello(LinkCodec.PROTOCOL_VERSION, self())))
        return LinkCodec.decodeHello(socket.read()).self
    }

    private companion object {
        val log = LoggerFactory.getLogger(Handshake::class.java)
    }
}
