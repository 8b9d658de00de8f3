package dev.hibiscusreach.runtime

import com.github.michaelbull.result.get
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.runtime.operations.StateDump
import dev.hibiscusreach.runtime.settings.DaemonSettings
import dev.hibiscusreach.runtime.settings.SettingsFile
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

class ProxyRuntimeTest {
    private val client = HttpClient.newHttpClient()

    private fun settings(): DaemonSettings {
        val text =
            """
            {"failureDomain": "galway", "callerAddress": "127.0.0.1:0", "operationsAddress": "127.0.0.1:0",
             "peerAddress": "127.0.0.1:0", "platformAddresses": ["${ScriptedServer.closedEndpoint()}"],
             "tokenKey": "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="}
            """.trimIndent()
        return checkNotNull(SettingsFile.parse(text).get())
    }

    private fun get(endpoint: Endpoint, path: String): HttpResponse<String> =
        client.send(
            HttpRequest.newBuilder(URI("http://$endpoint$path")).build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    /** Guards against a process without monitoring data, and against one that needs the platform to start. */
    @Test
    fun `a process without a platform starts and shows its state`() =
        ProxyRuntime.start(settings()).use { proxy ->
            val operations = proxy.addresses.operations
            expectThat(get(operations, "/live").statusCode()).isEqualTo(200)
            expectThat(get(operations, "/ready").statusCode()).isEqualTo(503)
            expectThat(get(operations, "/nothing").statusCode()).isEqualTo(404)
            expectThat(get(operations, "/metrics").body()).contains("hibiscusreach_loop_event_seconds_count")
            val state = Json.decodeFromString(StateDump.serializer(), get(operations, "/state").body())
            expectThat(state.node.peerEndpoint).isEqualTo(proxy.addresses.peer)
            expectThat(state.configuration.generation).isEqualTo(0)
            expectThat(proxy.addresses.peer.port).isNotEqualTo(0)
            Unit
        }

    /** Guards against requests to the operations port that could change the state of the process. */
    @Test
    fun `the operations endpoint rejects methods other than GET`() =
        ProxyRuntime.start(settings()).use { proxy ->
            val request =
                HttpRequest
                    .newBuilder(URI("http://${proxy.addresses.operations}/state"))
                    .POST(HttpRequest.BodyPublishers.ofString("x"))
                    .build()
            expectThat(client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()).isEqualTo(405)
            Unit
        }
}
