package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.event.ServerStatus
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.Serializable

/** Changes to the faults of a backend server; null leaves a fault as it is. */
@Serializable
data class ServerFaults(
    /** Drops all traffic of the session, control and replication ports. */
    val isolated: Boolean? = null,
    /** Makes the connections that are open now unresponsive; new ones work. */
    val silenceOpenConnections: Boolean = false,
    val slowMillis: Long? = null,
    /** Age at which a replica applies an entry. */
    val replicationDelayMillis: Long? = null,
    val leaving: Boolean? = null,
    /** Answers session commands with `unavailable`. */
    val refusesWork: Boolean? = null,
)

/** The admin port of a backend server. Its own traffic has no faults. */
internal class ServerAdminRoutes(
    private val server: DatabaseServerLoop,
    private val faults: TrafficFaults,
    private val puller: ReplicationPuller,
) : HttpRoutes {
    override fun handle(exchange: HttpExchange) =
        when (exchange.request.method to exchange.request.path) {
            "GET" to "/status" -> status(exchange)
            "POST" to "/faults" ->
                exchange.withBody(ServerFaults.serializer()) {
                    apply(it)
                    status(exchange)
                }
            else -> exchange.respond(HttpResponseStatus.NOT_FOUND)
        }

    private fun status(exchange: HttpExchange) {
        val status = server.model.status(server.now)
        exchange.respond(HttpResponseStatus.OK, WireJson.encodeToString(ServerStatus.serializer(), status))
    }

    private fun apply(change: ServerFaults) {
        change.isolated?.let { faults.isolated = it }
        if (change.silenceOpenConnections) faults.silenceOpenConnections()
        change.slowMillis?.let { faults.slowMillis = it }
        change.replicationDelayMillis?.let { puller.delayMillis = it }
        change.leaving?.let { server.model.leaving = it }
        change.refusesWork?.let { server.model.refusesWork = it }
    }
}
