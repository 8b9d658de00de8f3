package dev.hibiscusreach.runtime.platform

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.runtime.RecordingSink
import dev.hibiscusreach.runtime.ScriptedServer
import dev.hibiscusreach.runtime.ScriptedServer.Companion.response
import dev.hibiscusreach.runtime.withNetwork
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class HttpPlatformClientTest {
    private val get = PlatformCall.Get("group/jobs")
    private val put = PlatformCall.Put("group/jobs", "{}", expectedVersion = 3)
    private val found = response(200, """{"key":"group/jobs","value":"{}","version":4,"later":true}""")

    private fun call(request: PlatformCall, vararg endpoints: Endpoint): PlatformAnswer =
        withNetwork { group ->
            val sink = RecordingSink()
            HttpPlatformClient(group, endpoints.toList(), sink).use {
                it.call(Effect.CallPlatform(PlatformCallNumber(PartName.GROUPS, 1), request, 2.seconds))
                sink.next<Event.PlatformAnswered>().answer
            }
        }

    private fun answered(request: PlatformCall, response: String?): PlatformAnswer =
        ScriptedServer { _, _ -> response }.use { call(request, it.endpoint) }

    /** Guards against confused outcomes: a conflict is not a failure, and a failure does not mean a missing object. */
    @Test
    fun `responses are mapped to distinct answers`() {
        expectThat(answered(get, found)).isEqualTo(PlatformAnswer.Found("group/jobs", "{}", version = 4))
        expectThat(answered(get, response(404))).isEqualTo(PlatformAnswer.Missing("group/jobs"))
        expectThat(answered(put, response(200, """{"version":4}""")))
            .isEqualTo(PlatformAnswer.Stored("group/jobs", version = 4))
        expectThat(answered(put, response(412, """{"version":9}""")))
            .isEqualTo(PlatformAnswer.VersionConflict("group/jobs", actualVersion = 9))
        val watch = PlatformCall.Watch("group/jobs", afterVersion = 4, waitMillis = 10)
        expectThat(answered(watch, response(304))).isEqualTo(PlatformAnswer.Unchanged("group/jobs"))
        expectThat(answered(PlatformCall.ListHosts, response(200, "[]"))).isEqualTo(PlatformAnswer.Hosts(emptyList()))
        for (faulty in listOf(null, "", response(200, "nonsense"), response(500), response(429))) {
            expectThat(answered(get, faulty)).isA<PlatformAnswer.Failed>()
        }
    }

    /** Guards against an outage of one platform endpoint that is taken for an outage of the platform. */
    @Test
    fun `the next endpoint is tried when one is down, hangs or is unavailable`() {
        val working = ScriptedServer { _, _ -> found }
        val hanging = ScriptedServer { _, _ -> "" }
        val unavailable = ScriptedServer { _, _ -> response(503) }
        listOf(ScriptedServer.closedEndpoint(), hanging.endpoint, unavailable.endpoint).forEach {
            expectThat(call(get, it, working.endpoint)).isA<PlatformAnswer.Found>()
        }
        listOf(working, hanging, unavailable).forEach(ScriptedServer::close)
    }

    /** Guards against a put that runs twice, and whose second run reports a conflict that the first one caused. */
    @Test
    fun `a put that may have taken effect is not sent again`() {
        val working = ScriptedServer { _, _ -> response(200, """{"version":4}""") }
        for (faulty in listOf(null, response(503))) {
            ScriptedServer { _, _ -> faulty }.use { first ->
                expectThat(call(put, first.endpoint, working.endpoint)).isA<PlatformAnswer.Failed>()
                expectThat(first.requests.size).isEqualTo(1)
                expectThat(working.requests.size).isEqualTo(0)
            }
        }
        expectThat(call(put, ScriptedServer.closedEndpoint(), working.endpoint)).isA<PlatformAnswer.Stored>()
        working.close()
    }

    /** Guards against retries that add load to a platform that already limits the call rate. */
    @Test
    fun `a call over the rate limit is not repeated`() {
        val limiting = ScriptedServer { _, _ -> response(429) }
        val second = ScriptedServer { _, _ -> found }
        expectThat(call(get, limiting.endpoint, second.endpoint)).isA<PlatformAnswer.Failed>()
        expectThat(second.requests.size).isEqualTo(0)
        listOf(limiting, second).forEach(ScriptedServer::close)
    }
}
