package dev.hibiscusreach.standins.driver

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.standins.network.WireJson
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** One request of a caller, ready to be sent any number of times. */
internal data class CallerCall(
    /** Path below `/v1/databases/`. */
    val path: String,
    val body: String,
    val requestId: String,
    val session: String? = null,
    val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
) {
    private companion object {
        const val DEFAULT_TIMEOUT_MILLIS = 10_000L
    }
}

/** Sends the requests of one caller to proxies. */
internal class CallerClient(private val caller: String) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Sends [call] to [proxy] and waits for the result. */
    fun send(proxy: Endpoint, call: CallerCall): CallerResult =
        try {
            result(client.send(request(proxy, call), HttpResponse.BodyHandlers.ofString()))
        } catch (failure: IOException) {
            CallerResult.Broken(failure.toString())
        } catch (failure: SerializationException) {
            CallerResult.Broken("malformed answer: ${failure.message}")
        }

    private fun result(response: HttpResponse<String>): CallerResult {
        val answer = WireJson.decodeFromString(AnswerBody.serializer(), response.body())
        return when {
            answer.error != null -> CallerResult.Refused(answer.error.kind, answer.error.message, answer)
            response.statusCode() == OK -> CallerResult.Completed(answer)
            else -> CallerResult.Broken("status ${response.statusCode()} without an error")
        }
    }

    private fun request(proxy: Endpoint, call: CallerCall): HttpRequest {
        val builder =
            HttpRequest
                .newBuilder(URI("http://$proxy/v1/databases/${call.path}"))
                .timeout(Duration.ofMillis(call.timeoutMillis))
                .header("Content-Type", "application/json")
                .header("Hibiscusreach-Caller", caller)
                .header("Hibiscusreach-Request-Id", call.requestId)
                .POST(HttpRequest.BodyPublishers.ofString(call.body))
        call.session?.let { builder.header("Hibiscusreach-Session", it) }
        return builder.build()
    }

    private companion object {
        const val OK = 200
    }
}
