package dev.hibiscusreach.systemtests.processes

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.UUID
import java.util.concurrent.CompletableFuture

/** An answer to a caller, read by the field names of the wire. */
internal class CallerReply(val status: Int, text: String) {
    private val body = Json.parseToJsonElement(text).jsonObject

    val requestId: String? get() = text("requestId")
    val ran: String? get() = text("ran")
    val session: String? get() = text("session")
    val transaction: String? get() = text("transaction")
    val replayed: Boolean get() = text("replayed") == "true"
    val kind: String? get() = (body["error"] as? JsonObject)?.get("kind")?.jsonPrimitive?.content
    val succeeded: Boolean get() = status == OK

    /** Whether the same request can be sent again. */
    val mayRepeat: Boolean get() = !succeeded && text("retry") != "never"

    /** The value of the first result; null if its key does not exist. */
    val value: String?
        get() =
            body["results"]
                ?.jsonArray
                ?.firstOrNull()
                ?.jsonObject
                ?.get("rows")
                ?.jsonArray
                ?.firstOrNull()
                ?.jsonArray
                ?.first()
                ?.jsonPrimitive
                ?.content

    override fun toString(): String = "$status $body"

    private fun text(name: String): String? = (body[name] as? JsonPrimitive)?.contentOrNull

    private companion object {
        const val OK = 200
    }
}

/** A write that can be sent again and again under one identifier. */
internal data class CallerWrite(
    val statements: List<String>,
    val requestId: String = "write-${UUID.randomUUID()}",
    val createdAtMillis: Long = System.currentTimeMillis(),
)

/** Sends requests of one caller to the proxies with the client of the JDK. */
internal class HttpCaller(private val database: String, private val caller: String) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun read(port: Int, key: String): CallerReply = send(port, "statements", body(listOf("get $key"), "read"), newId())

    fun write(port: Int, write: CallerWrite): CallerReply = writeLater(port, write).join()

    fun writeLater(port: Int, write: CallerWrite): CompletableFuture<CallerReply> =
        client
            .sendAsync(
                request(port, "statements", body(write.statements, "write", write.createdAtMillis), write.requestId),
                HttpResponse.BodyHandlers.ofString(),
            ).thenApply { CallerReply(it.statusCode(), it.body()) }

    fun begin(port: Int): CallerReply = send(port, "transactions", "{}", newId())

    fun run(port: Int, transaction: String, statements: List<String>): CallerReply =
        send(port, "transactions/$transaction/statements", body(statements), newId())

    fun commit(port: Int, transaction: String, requestId: String): CallerReply =
        send(port, "transactions/$transaction/commit", body(emptyList(), null, System.currentTimeMillis()), requestId)

    private fun newId() = UUID.randomUUID().toString()

    private fun body(statements: List<String>, access: String? = null, createdAtMillis: Long? = null): String =
        buildJsonObject {
            if (statements.isNotEmpty()) {
                putJsonArray("statements") { statements.forEach { text -> addJsonObject { put("text", text) } } }
            }
            access?.let { put("access", it) }
            createdAtMillis?.let { put("createdAtMillis", it) }
        }.toString()

    private fun send(port: Int, path: String, body: String, requestId: String): CallerReply {
        val response = client.send(request(port, path, body, requestId), HttpResponse.BodyHandlers.ofString())
        return CallerReply(response.statusCode(), response.body())
    }

    private fun request(port: Int, path: String, body: String, requestId: String): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:$port/v1/databases/$database/$path"))
            .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .header("Content-Type", "application/json")
            .header("Hibiscusreach-Caller", caller)
            .header("Hibiscusreach-Request-Id", requestId)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()

    private companion object {
        const val TIMEOUT_SECONDS = 20L
    }
}
