package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.PeerUpdate
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException

/** The exchange of the first frames of a link. */
internal class Handshake(private val settings: PeerLinkSettings, private val self: () -> PeerUpdate) {
    /** A link whose other side is known. */
    class Completed(val socket: FrameSocket, val remote: PeerUpdate)

    /** Connects and introduces both sides to each other; null if that fails. */
    suspend fun open(connect: suspend () -> FrameSocket): Completed? {
        val socket =
            try {
                withTimeoutOrNull(settings.connectTimeout.value) { connect() }
            } catch (failure: IOException) {
                log.debug("peer cannot be reached", failure)
                null
            } catch (failure: IllegalArgumentException) {
                log.warn("peer address is not valid", failure)
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
                log.debug("handshake failed", failure)
                null
            } catch (failure: UnreadableFrameException) {
                log.warn("link of {} refused: {}", socket.remoteAddress, failure.message)
                null
            } catch (failure: OtherVersionException) {
                log.warn("link of {} refused: {}", socket.remoteAddress, failure.message)
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
