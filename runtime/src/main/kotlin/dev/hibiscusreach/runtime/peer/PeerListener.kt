package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.runtime.http.BindException
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.Executors

/** The socket at which other proxies open links. Bound first, since the node identity contains its port. */
class PeerListener private constructor(
    address: String,
    private val selector: SelectorManager,
    private val socket: ServerSocket,
) : AutoCloseable {
    /** The address with its actual port. */
    val endpoint: Endpoint = Endpoint(address, (socket.localAddress as InetSocketAddress).port)

    /** The next connection; null if none can be accepted now, for example because of too many open files. */
    internal suspend fun accept(): FrameSocket? =
        try {
            FrameSocket(socket.accept())
        } catch (failure: IOException) {
            log.warn("accepting a peer link failed: {}", failure.toString())
            null
        }

    internal suspend fun connect(endpoint: Endpoint): FrameSocket =
        FrameSocket(aSocket(selector).tcp().connect(endpoint.address, endpoint.port) { noDelay = true })

    override fun close() {
        socket.close()
        selector.close()
    }

    companion object {
        private val log = LoggerFactory.getLogger(PeerListener::class.java)

        /** Listens at [address]. */
        fun bind(address: Endpoint): PeerListener {
            val executor = Executors.newSingleThreadExecutor { Thread(it, "peer-selector").apply { isDaemon = true } }
            val selector = SelectorManager(executor.asCoroutineDispatcher())
            return try {
                val socket =
                    runBlocking {
                        aSocket(selector).tcp().bind(address.address, address.port) { reuseAddress = true }
                    }
                PeerListener(address.address, selector, socket)
            } catch (failure: IOException) {
                selector.close()
                throw BindException(address, failure)
            }
        }
    }
}
