package dev.hibiscusreach.systemtests.primaries

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.systemtests.stops.LineServerGroup
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Stand-in of the platform's promotion service. A promotion takes effect some time after its request was accepted. */
internal class PromotionStandIn(
    private val servers: LineServerGroup,
    private val promoted: () -> Unit
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor()
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG)
    private var highestToken = 0L
    private val effective = AtomicInteger()

    val endpoint: Endpoint get() = Endpoint("127.0.0.1", server.address.port)

    /** Number of promotions that took effect. */
    val count: Int get() = effective.get()

    /** One line for each request whose fencing token is not above all earlier ones. */
    val findings = ConcurrentLinkedQueue<String>()

    init {
        server.createContext("/promotion") { handle(it) }
        server.start()
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }

    private fun handle(exchange: HttpExchange) {
        val name = NAME.find(exchange.requestBody.readAllBytes().decodeToString())!!.groupValues[1]
        checkToken(exchange.requestHeaders.getFirst("Hibiscusreach-Fencing-Token").toLong())
        val isRunning = servers.servers.first { it.name == name }.isRunning
        if (isRunning) executor.schedule({ promote(name) }, DELAY_MILLIS, TimeUnit.MILLISECONDS)
        exchange.sendResponseHeaders(if (isRunning) OK else CONFLICT, NO_BODY)
        exchange.close()
    }

    private fun checkToken(token: Long) {
        if (token <= highestToken) findings += "a promotion was requested with the token $token after $highestToken"
        highestToken = maxOf(highestToken, token)
    }

    private fun promote(name: String) {
        if (name == servers.log.leader) return
        servers.log.promote(name)
        effective.incrementAndGet()
        promoted()
    }

    private companion object {
        const val BACKLOG = 16
        const val OK = 200
        const val CONFLICT = 409
        const val NO_BODY = -1L
        const val DELAY_MILLIS = 300L
        val NAME = Regex(""""id":"([^"]+)"""")
    }
}
