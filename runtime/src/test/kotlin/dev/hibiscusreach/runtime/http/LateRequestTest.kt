package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * How the connection of a call without an answer ends, over loopback. After an orderly end the kernel goes on to
 * deliver what a partition holds up; after a reset it does not.
 */
@Timeout(20)
class LateRequestTest {
    private enum class End { ORDERLY, RESET }

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, maximumResponseBytes = 10_000)
    private val server = ServerSocket(0, 5, InetAddress.getLoopbackAddress())
    private val outcomes = LinkedBlockingQueue<HttpOutcome>()

    @AfterEach
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `an expired call's connection is reset - guards against a request that is carried out after it was given up`() {
        call(mayArriveLate = false)
        expectThat(server.accept().use(::awaitEnd)).isEqualTo(End.RESET)
        expectThat(outcomes.take()).isEqualTo(HttpOutcome.Failed(ConnectionFailure.TIMED_OUT))
    }

    @Test
    fun `a connection that was used before is reset as well - guards against a late request on an open connection`() {
        call(mayArriveLate = true)
        server.accept().use { connection ->
            answer(connection)
            call(mayArriveLate = false)
            expectThat(awaitEnd(connection)).isEqualTo(End.RESET)
        }
    }

    @Test
    fun `a later call on the connection ends orderly - guards against the loss of writes that may arrive late`() {
        call(mayArriveLate = false)
        server.accept().use { connection ->
            answer(connection)
            call(mayArriveLate = true)
            expectThat(awaitEnd(connection)).isEqualTo(End.ORDERLY)
        }
    }

    private fun call(mayArriveLate: Boolean) {
        val endpoint = Endpoint("127.0.0.1", server.localPort)
        val message = HttpMessage("POST", "/", body = "{}")
        val call = HttpCall(endpoint, message, Millis(300), repeatable = false, mayArriveLate = mayArriveLate)
        client.call(call, outcomes::add)
    }

    private fun answer(connection: Socket) {
        readUntil(connection, "{}")
        connection.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
        outcomes.take()
    }

    private fun readUntil(connection: Socket, end: String) {
        val read = StringBuilder()
        while (!read.endsWith(end)) read.append(connection.getInputStream().read().toChar())
    }

    private fun awaitEnd(connection: Socket): End =
        try {
            while (connection.getInputStream().read() >= 0) Unit
            End.ORDERLY
        } catch (_: SocketException) {
            End.RESET
        }
}
