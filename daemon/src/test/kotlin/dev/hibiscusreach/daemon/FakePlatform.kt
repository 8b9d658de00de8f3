package dev.hibiscusreach.daemon

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import dev.hibiscusreach.core.event.ObjectUpdate
import dev.hibiscusreach.core.event.ObjectVersion
import dev.hibiscusreach.core.event.StoredObject
import kotlinx.serialization.json.Json
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

/** The platform's objects over HTTP, kept in memory. */
internal class FakePlatform : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    val objects = ConcurrentHashMap<String, StoredObject>()

    /** Called before each put with its key. */
    var beforePut: (String) -> Unit = {}

    /** Whether a put takes effect but its answer is lost. */
    var losesAnswer: (String) -> Boolean = { false }

    val address: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.createContext("/objects/") { it.use(::handle) }
        // A put may wait for another command's put.
        server.executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        server.start()
    }

    override fun close() = server.stop(0)

    private fun handle(exchange: HttpExchange) {
        val key = exchange.requestURI.path.removePrefix("/objects/")
        if (exchange.requestMethod == "PUT") put(key, exchange) else get(key, exchange)
    }

    private fun get(key: String, exchange: HttpExchange) {
        val found = objects[key]
        if (found == null) {
            answer(exchange, status = 404, "")
        } else {
            answer(exchange, status = 200, Json.encodeToString(StoredObject.serializer(), found))
        }
    }

    private fun put(key: String, exchange: HttpExchange) {
        beforePut(key)
        val update = Json.decodeFromString(ObjectUpdate.serializer(), exchange.requestBody.readBytes().decodeToString())
        val current = objects[key]?.version ?: 0
        val matches = exchange.requestHeaders.getFirst("If-Match") == current.toString()
        val version = if (matches) current + 1 else current
        if (matches) objects[key] = StoredObject(key, update.value, version)
        if (losesAnswer(key)) return
        val body = Json.encodeToString(ObjectVersion.serializer(), ObjectVersion(version))
        answer(exchange, if (matches) 200 else 412, body)
    }

    private fun answer(exchange: HttpExchange, status: Int, body: String) {
        val bytes = body.encodeToByteArray()
        exchange.sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
        exchange.responseBody.write(bytes)
    }
}

private fun HttpExchange.use(action: (HttpExchange) -> Unit) =
    try {
        action(this)
    } finally {
        close()
    }
