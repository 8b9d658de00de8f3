package dev.hibiscusreach.runtime.platform

import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.ObjectUpdate
import dev.hibiscusreach.core.event.ObjectVersion
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.StoredObject
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.runtime.http.HttpCall
import dev.hibiscusreach.runtime.http.HttpMessage
import dev.hibiscusreach.runtime.http.HttpOutcome
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** The platform's HTTP format. */
internal object PlatformWire {
    const val STATUS_UNAVAILABLE = 503
    private const val STATUS_OK = 200
    private const val STATUS_NOT_MODIFIED = 304
    private const val STATUS_NOT_FOUND = 404
    private const val STATUS_PRECONDITION_FAILED = 412

    private val json = Json { ignoreUnknownKeys = true }

    /** [call] as an HTTP request to [endpoint]. */
    fun httpCall(call: PlatformCall, endpoint: Endpoint, timeout: Millis): HttpCall =
        HttpCall(endpoint, message(call), timeout, repeatable = call !is PlatformCall.Put)

    private fun message(call: PlatformCall): HttpMessage =
        when (call) {
            is PlatformCall.Get -> HttpMessage("GET", path(call.key))
            is PlatformCall.Put -> {
                val body = json.encodeToString(ObjectUpdate.serializer(), ObjectUpdate(call.value))
                HttpMessage("PUT", path(call.key), body, mapOf("If-Match" to call.expectedVersion.toString()))
            }
            is PlatformCall.Watch -> {
                val query = "?after=${call.afterVersion}&waitMillis=${call.waitMillis}"
                HttpMessage("GET", path(call.key) + query)
            }
            PlatformCall.ListHosts -> HttpMessage("GET", "/hosts")
        }

    /** The answer to [call] that [outcome] holds. */
    fun answer(call: PlatformCall, outcome: HttpOutcome): PlatformAnswer =
        when (outcome) {
            is HttpOutcome.Failed -> PlatformAnswer.Failed(outcome.failure.name.lowercase())
            is HttpOutcome.TooLong -> PlatformAnswer.Failed("the answer exceeds ${outcome.maximumBytes} bytes")
            is HttpOutcome.Answered ->
                try {
                    decode(call, outcome) ?: PlatformAnswer.Failed("status ${outcome.status}")
                } catch (failure: SerializationException) {
                    PlatformAnswer.Failed("unreadable answer: ${failure.message?.lineSequence()?.first()}")
                }
        }

    private fun decode(call: PlatformCall, answer: HttpOutcome.Answered): PlatformAnswer? =
        when (call) {
            is PlatformCall.Get -> read(call.key, answer)
            is PlatformCall.Watch ->
                if (answer.status == STATUS_NOT_MODIFIED) PlatformAnswer.Unchanged(call.key) else read(call.key, answer)
            is PlatformCall.Put -> put(call.key, answer)
            PlatformCall.ListHosts ->
                answer
                    .takeIf { it.status == STATUS_OK }
                    ?.let { json.decodeFromString(ListSerializer(ListedHost.serializer()), it.body) }
                    ?.let(PlatformAnswer::Hosts)
        }

    private fun read(key: String, answer: HttpOutcome.Answered): PlatformAnswer? =
        when (answer.status) {
            STATUS_OK -> {
                val found = json.decodeFromString(StoredObject.serializer(), answer.body)
                PlatformAnswer.Found(key, found.value, found.version)
            }
            STATUS_NOT_FOUND -> PlatformAnswer.Missing(key)
            else -> null
        }

    private fun put(key: String, answer: HttpOutcome.Answered): PlatformAnswer? =
        when (answer.status) {
            STATUS_OK -> PlatformAnswer.Stored(key, version(answer))
            STATUS_PRECONDITION_FAILED -> PlatformAnswer.VersionConflict(key, version(answer))
            else -> null
        }

    private fun version(answer: HttpOutcome.Answered): Long =
        json.decodeFromString(ObjectVersion.serializer(), answer.body).version

    private fun path(key: String) = "/objects/$key"
}
