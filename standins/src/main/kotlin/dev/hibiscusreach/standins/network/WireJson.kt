package dev.hibiscusreach.standins.network

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The JSON format of all stand-ins. */
internal val WireJson = Json { ignoreUnknownKeys = true }

/** Decodes the body and passes it to [action], or answers with 400. */
internal fun <T> HttpExchange.withBody(type: DeserializationStrategy<T>, action: (T) -> Unit) {
    val body =
        try {
            WireJson.decodeFromString(type, request.body)
        } catch (failure: SerializationException) {
            return respond(HttpResponseStatus.BAD_REQUEST, failure.message.orEmpty())
        }
    action(body)
}
