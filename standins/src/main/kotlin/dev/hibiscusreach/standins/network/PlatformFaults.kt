package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.ObjectUpdate
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer

/** Changes to the faults of the platform; null leaves a fault as it is. */
@Serializable
data class PlatformFaults(
    /** Answers every call with 503. */
    val outage: Boolean? = null,
    /** Drops all traffic of the platform's port. */
    val isolated: Boolean? = null,
    /** Makes the connections that are open now unresponsive; new ones work. */
    val silenceOpenConnections: Boolean = false,
    val slowMillis: Long? = null,
    /** The number of next answers that are lost after their call was carried out. */
    val loseAnswers: Int? = null,
)

/** The admin port of the platform. Its own traffic has no faults. */
internal class PlatformAdminRoutes(private val platform: PlatformLoop, private val faults: TrafficFaults) : HttpRoutes {
    override fun handle(exchange: HttpExchange) {
        val request = exchange.request
        when {
            request.method == "GET" && request.path == "/counts" -> counts(exchange)
            request.method == "POST" && request.path == "/faults" -> faults(exchange)
            request.method == "PUT" && request.path == "/hosts" -> hosts(exchange)
            request.method == "PUT" && request.path.startsWith(OBJECTS) -> overwrite(exchange)
            else -> exchange.respond(HttpResponseStatus.NOT_FOUND)
        }
    }

    private fun counts(exchange: HttpExchange) {
        val counts = platform.model.callCounts.mapKeys { it.key.name.lowercase() }
        val type = MapSerializer(String.serializer(), Long.serializer())
        exchange.respond(HttpResponseStatus.OK, WireJson.encodeToString(type, counts))
    }

    private fun faults(exchange: HttpExchange) =
        exchange.withBody(PlatformFaults.serializer()) { change ->
            change.outage?.let { platform.model.outage = it }
            change.isolated?.let { faults.isolated = it }
            if (change.silenceOpenConnections) faults.silenceOpenConnections()
            change.slowMillis?.let { platform.model.slownessMillis = it }
            change.loseAnswers?.let { platform.model.answersToLose = it }
            platform.answerWatches()
            exchange.respond(HttpResponseStatus.OK)
        }

    private fun hosts(exchange: HttpExchange) =
        exchange.withBody(ListSerializer(ListedHost.serializer())) { hosts ->
            platform.model.setHosts(hosts, platform.now)
            exchange.respond(HttpResponseStatus.OK)
        }

    private fun overwrite(exchange: HttpExchange) =
        exchange.withBody(ObjectUpdate.serializer()) { update ->
            platform.model.overwrite(exchange.request.path.removePrefix(OBJECTS), update.value)
            platform.answerWatches()
            exchange.respond(HttpResponseStatus.OK)
        }

    private companion object {
        const val OBJECTS = "/objects/"
    }
}
