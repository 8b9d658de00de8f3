package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.standins.database.ReplicationAnswer
import dev.hibiscusreach.standins.database.ReplicationRequest
import io.netty.handler.codec.http.HttpResponseStatus

/** The control port of a backend server, which also serves the group's replication. */
internal class ControlRoutes(private val server: DatabaseServerLoop) : HttpRoutes {
    override fun handle(exchange: HttpExchange) =
        when (exchange.request.method to exchange.request.path) {
            "POST" to "/control" -> exchange.withBody(ControlCommand.serializer()) { control(exchange, it) }
            "POST" to "/replication" -> exchange.withBody(ReplicationRequest.serializer()) { replicate(exchange, it) }
            else -> exchange.respond(HttpResponseStatus.NOT_FOUND)
        }

    private fun control(exchange: HttpExchange, command: ControlCommand) =
        server.control(command) { answer ->
            exchange.respond(HttpResponseStatus.OK, WireJson.encodeToString(ControlAnswer.serializer(), answer))
        }

    private fun replicate(exchange: HttpExchange, request: ReplicationRequest) {
        val answer = server.model.entriesFor(request)
        if (answer == null) {
            exchange.respond(HttpResponseStatus.CONFLICT)
        } else {
            exchange.respond(HttpResponseStatus.OK, WireJson.encodeToString(ReplicationAnswer.serializer(), answer))
        }
    }
}
