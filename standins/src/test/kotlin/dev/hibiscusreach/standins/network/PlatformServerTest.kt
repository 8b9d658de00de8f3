package dev.hibiscusreach.standins.network

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CompletableFuture

class PlatformServerTest {
    private val platform = PlatformServer()
    private val client = TestClient(platform.ports.objects)
    private val admin = TestClient(platform.ports.admin)

    @AfterEach
    fun close() {
        client.close()
        admin.close()
        platform.close()
    }

    private fun put(client: TestClient, version: Long) =
        client.call("PUT /objects/group/jobs", """{"value":"v$version"}""", "If-Match: $version\r\n")

    @Test
    fun `updates are conditional over HTTP, so that proposers cannot claim a term twice`() {
        expectThat(client.call("GET /objects/group/jobs")?.status).isEqualTo(404)
        expectThat(put(client, 0)?.body).isEqualTo("""{"version":1}""")
        expectThat(put(client, 0)?.status).isEqualTo(412)
        expectThat(client.call("GET /objects/group/jobs")?.body)
            .isEqualTo("""{"key":"group/jobs","value":"v0","version":1}""")
    }

    @Test
    fun `a watch is answered by another client's update, and with 304 when its wait ends`() {
        val watch = CompletableFuture.supplyAsync { client.call("GET /objects/group/jobs?after=0&waitMillis=5000") }
        TestClient(platform.ports.objects).use { put(it, 0) }

        expectThat(watch.get()?.body).isEqualTo("""{"key":"group/jobs","value":"v0","version":1}""")
        expectThat(client.call("GET /objects/group/jobs?after=1&waitMillis=10")?.status).isEqualTo(304)
    }

    @Test
    fun `a lost answer closes the connection after the update took effect, so that its caller has to read again`() {
        admin.call("POST /faults", """{"loseAnswers": 1}""")

        expectThat(put(client, 0)).isNull()
        TestClient(platform.ports.objects).use {
            expectThat(it.call("GET /objects/group/jobs")?.status).isEqualTo(200)
        }
    }

    @Test
    fun `an outage answers 503 and its end restores the objects, so that nothing is lost by it`() {
        put(client, 0)
        admin.call("POST /faults", """{"outage": true}""")
        expectThat(client.call("GET /hosts")?.status).isEqualTo(503)
        admin.call("POST /faults", """{"outage": false}""")

        expectThat(client.call("GET /objects/group/jobs")?.status).isEqualTo(200)
        expectThat(admin.call("GET /counts")?.body.orEmpty()).contains(""""list_hosts":1""")
    }

    @Test
    fun `malformed requests get an error, so that a defect of a client is visible`() {
        expectThat(client.call("PUT /objects/k", """{"value":"v"}""")?.status).isEqualTo(428)
        expectThat(client.call("PUT /objects/k", "{", "If-Match: 0\r\n")?.status).isEqualTo(400)
        expectThat(client.call("GET /objects/k%20k")?.status).isEqualTo(404)
    }
}
