package dev.hibiscusreach.runtime.http

import com.sun.net.httpserver.HttpServer
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Tests the client's limit on the length of a response, over loopback. */
@Timeout(20)
class ResponseLimitTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, LIMIT)
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 5)
    private val requests = AtomicInteger()
    private val outcomes = LinkedBlockingQueue<HttpOutcome>()

    init {
        server.createContext("/") { exchange ->
            requests.incrementAndGet()
            val (bytes, framing) = exchange.requestURI.path.drop(1).split('/')
            exchange.sendResponseHeaders(200, if (framing == "chunked") 0 else bytes.toLong())
            exchange.responseBody.use { it.write(ByteArray(bytes.toInt()) { 'x'.code.toByte() }) }
        }
        server.start()
    }

    @AfterEach
    fun stop() {
        server.stop(0)
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun get(path: String): HttpOutcome {
        val endpoint = Endpoint("127.0.0.1", server.address.port)
        client.call(HttpCall(endpoint, HttpMessage("GET", path), Millis(5_000))) { outcomes.add(it) }
        return outcomes.take()
    }

    // Guards against a response that is too long counting as a broken connection, which is repeated at once.
    @ParameterizedTest
    @CsvSource(
        "-1, fixed, true",
        "0, fixed, true",
        "1, fixed, false",
        "-1, chunked, true",
        "0, chunked, true",
        "1, chunked, false",
    )
    fun `a response over the limit is reported as such and requested once`(
        excess: Int,
        framing: String,
        isRead: Boolean,
    ) {
        // Only a request on a connection that was used before is repeated.
        get("/1/fixed")
        val length = LIMIT + excess
        val outcome = get("/$length/$framing")
        val seen = if (outcome is HttpOutcome.Answered) outcome.body.length else outcome
        expectThat(seen).isEqualTo(if (isRead) length else HttpOutcome.TooLong(LIMIT))
        expectThat(requests.get()).isEqualTo(2)
    }

    private companion object {
        const val LIMIT = 50_000
    }
}
