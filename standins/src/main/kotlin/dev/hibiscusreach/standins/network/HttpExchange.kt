package dev.hibiscusreach.standins.network

import io.netty.handler.codec.http.HttpResponseStatus

/** One HTTP request and the way to answer it. */
internal class HttpExchange(
    val connection: Long,
    val request: HttpRequestData,
    private val send: (HttpReply) -> Unit,
) {
    /** Answers with [status] and the JSON text [body]. */
    fun respond(status: HttpResponseStatus, body: String = "{}", close: Boolean = false) =
        send(HttpReply.Response(status, body, close))

    /** Closes the connection without an answer. */
    fun drop() = send(HttpReply.Dropped)
}

/** The parts of a request that the stand-ins use. */
internal data class HttpRequestData(
    val method: String,
    val path: String,
    val query: Map<String, String>,
    val ifMatch: String?,
    val requestId: String?,
    val body: String,
)

/** How an exchange ends. */
internal sealed interface HttpReply {
    data class Response(val status: HttpResponseStatus, val body: String, val close: Boolean) : HttpReply

    data object Dropped : HttpReply
}

/** Serves the requests of one endpoint, on the endpoint's event loop. */
internal interface HttpRoutes {
    /** Handles [exchange] and answers it now or later. */
    fun handle(exchange: HttpExchange)

    /** Called once after [connection] was closed. */
    fun closed(connection: Long) = Unit
}
