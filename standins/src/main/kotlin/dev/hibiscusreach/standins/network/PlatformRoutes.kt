package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.ObjectUpdate
import dev.hibiscusreach.core.event.ObjectVersion
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.StoredObject
import dev.hibiscusreach.standins.platform.PlatformReply
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.builtins.ListSerializer

/** The platform's object API and host list over HTTP. */
internal class PlatformRoutes(private val platform: PlatformLoop) : HttpRoutes {
    private val watching = HashMap<Long, Long>()

    override fun handle(exchange: HttpExchange) {
        val request = exchange.request
        val key = request.path.removePrefix(OBJECTS)
        when {
            request.path == "/hosts" && request.method == "GET" -> call(exchange, PlatformCall.ListHosts)
            !request.path.startsWith(OBJECTS) || !key.matches(KEY) -> exchange.respond(HttpResponseStatus.NOT_FOUND)
            request.method == "GET" -> call(exchange, read(key, request.query))
            request.method == "PUT" -> put(exchange, key)
            else -> exchange.respond(HttpResponseStatus.METHOD_NOT_ALLOWED)
        }
    }

    override fun closed(connection: Long) {
        watching.remove(connection)?.let(platform::cancel)
    }

    private fun read(key: String, query: Map<String, String>): PlatformCall {
        val after = query["after"]?.toLongOrNull() ?: return PlatformCall.Get(key)
        return PlatformCall.Watch(key, after, query["waitMillis"]?.toLongOrNull() ?: 0)
    }

    private fun put(exchange: HttpExchange, key: String) {
        val expected = exchange.request.ifMatch?.toLongOrNull()
        if (expected == null) {
            exchange.respond(HttpResponseStatus.PRECONDITION_REQUIRED)
        } else {
            exchange.withBody(ObjectUpdate.serializer()) { call(exchange, PlatformCall.Put(key, it.value, expected)) }
        }
    }

    private fun call(exchange: HttpExchange, request: PlatformCall) {
        val call =
            platform.call(request) { reply ->
                watching.remove(exchange.connection)
                answer(exchange, reply)
            }
        if (call != null) watching[exchange.connection] = call
    }

    private fun answer(exchange: HttpExchange, reply: PlatformReply) =
        when (reply) {
            is PlatformReply.Answered -> platform.after(reply.delayMillis) { answer(exchange, reply.answer) }
            is PlatformReply.Lost -> exchange.drop()
            is PlatformReply.Unavailable -> exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE)
            is PlatformReply.RateLimited -> exchange.respond(HttpResponseStatus.TOO_MANY_REQUESTS)
            is PlatformReply.Waiting -> error("a waiting watch has no answer")
        }

    private fun answer(exchange: HttpExchange, answer: PlatformAnswer) =
        when (answer) {
            is PlatformAnswer.Found -> exchange.respond(HttpResponseStatus.OK, found(answer))
            is PlatformAnswer.Missing -> exchange.respond(HttpResponseStatus.NOT_FOUND)
            is PlatformAnswer.Stored -> exchange.respond(HttpResponseStatus.OK, version(answer.version))
            is PlatformAnswer.VersionConflict ->
                exchange.respond(HttpResponseStatus.PRECONDITION_FAILED, version(answer.actualVersion))
            is PlatformAnswer.Unchanged -> exchange.respond(HttpResponseStatus.NOT_MODIFIED, body = "")
            is PlatformAnswer.Hosts -> exchange.respond(HttpResponseStatus.OK, hosts(answer))
            is PlatformAnswer.Failed -> exchange.respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }

    private companion object {
        const val OBJECTS = "/objects/"
        val KEY = Regex("[a-zA-Z0-9._/-]+")

        fun found(answer: PlatformAnswer.Found): String =
            WireJson.encodeToString(StoredObject.serializer(), StoredObject(answer.key, answer.value, answer.version))

        fun version(version: Long): String = WireJson.encodeToString(ObjectVersion.serializer(), ObjectVersion(version))

        fun hosts(answer: PlatformAnswer.Hosts): String =
            WireJson.encodeToString(ListSerializer(ListedHost.serializer()), answer.hosts)
    }
}
