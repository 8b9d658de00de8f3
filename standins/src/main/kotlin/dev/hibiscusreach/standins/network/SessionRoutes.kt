package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.SessionRequest
import dev.hibiscusreach.core.event.SessionResponse
import dev.hibiscusreach.standins.database.SlotSchedule
import io.netty.handler.codec.http.HttpResponseStatus

/** The session port of a backend server: each TCP connection is one session. */
internal class SessionRoutes(private val server: DatabaseServerLoop, private val timing: ServerTiming) : HttpRoutes {
    private val open = HashSet<Long>()

    override fun handle(exchange: HttpExchange) {
        val request = exchange.request
        when {
            request.path != "/session" -> exchange.respond(HttpResponseStatus.NOT_FOUND)
            request.method == "GET" -> open(exchange)
            request.method != "POST" -> exchange.respond(HttpResponseStatus.METHOD_NOT_ALLOWED)
            exchange.connection !in open -> exchange.respond(HttpResponseStatus.CONFLICT)
            else -> exchange.withBody(SessionRequest.serializer()) { run(exchange, it) }
        }
    }

    override fun closed(connection: Long) {
        if (open.remove(connection)) server.model.closeSession(connection)
    }

    private fun open(exchange: HttpExchange) {
        if (server.model.openSession(exchange.connection)) {
            open += exchange.connection
            server.after(timing.openMillis) { exchange.respond(HttpResponseStatus.OK) }
        } else {
            exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, close = true)
        }
    }

    // The command takes effect when its time in the slot is over, even if its connection is closed by then, because
    // a database does not notice that either. Only the transaction of a closed session is gone.
    private fun run(exchange: HttpExchange, request: SessionRequest) {
        val now = server.now
        val end = server.model.slots.reserve(now, SlotSchedule.duration(request.command, timing.statementMillis))
        server.after(end - now) {
            if (exchange.connection in open || !request.command.needsSession()) execute(exchange, request)
        }
    }

    private fun execute(exchange: HttpExchange, request: SessionRequest) {
        val answer = server.model.execute(exchange.connection, request.command, server.now)
        val response = WireJson.encodeToString(SessionResponse.serializer(), SessionResponse(request.attempt, answer))
        exchange.respond(HttpResponseStatus.OK, response)
        server.answerConfirms()
    }
}

private fun SessionCommand.needsSession(): Boolean = this !is SessionCommand.Execute && this !is SessionCommand.Resolve
