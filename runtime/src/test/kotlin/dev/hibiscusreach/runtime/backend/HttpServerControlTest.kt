package dev.hibiscusreach.runtime.backend

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCallNumber
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.runtime.RecordingSink
import dev.hibiscusreach.runtime.ScriptedServer
import dev.hibiscusreach.runtime.ScriptedServer.Companion.response
import dev.hibiscusreach.runtime.withNetwork
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class HttpServerControlTest {
    private val name = ServerName("jobs-1")
    private val status = ServerStatus(name, Term(1), ServerRole.REPLICA, applied = Position.ORIGIN)
    private val confirmed =
        ServerWire.json.encodeToString(ControlAnswer.serializer(), ControlAnswer.Confirmed(status))

    private fun withControl(test: (HttpServerControl, RecordingSink) -> Unit) =
        withNetwork { group ->
            val sink = RecordingSink()
            HttpServerControl(group, sink).use { test(it, sink) }
        }

    private fun HttpServerControl.probe(endpoint: Endpoint, timeout: Millis = 300.milliseconds) =
        send(
            Effect.SendControlCommand(
                ControlCallNumber(1),
                name,
                endpoint,
                ControlCommand.Probe,
                timeout = timeout,
            ),
        )

    /** Guards against a new connection for each probe. */
    @Test
    fun `calls one after the other use one connection`() =
        ScriptedServer { _, _ -> response(200, confirmed) }.use { server ->
            withControl { control, sink ->
                repeat(3) {
                    control.probe(server.endpoint)
                    expectThat(sink.next<Event.ControlAnswered>().answer).isEqualTo(ControlAnswer.Confirmed(status))
                }
                expectThat(server.connectionCount).isEqualTo(1)
            }
        }

    /** Guards against a probe that fails only because the server closed the idle connection. */
    @Test
    fun `a call succeeds after the server closed the idle connection`() =
        ScriptedServer { _, _ -> response(200, confirmed) }.use { server ->
            withControl { control, sink ->
                control.probe(server.endpoint)
                sink.next<Event.ControlAnswered>()
                server.closeConnections()
                control.probe(server.endpoint)
                sink.next<Event.ControlAnswered>()
            }
        }

    /** Guards against calls that never end, and against reuse of unresponsive connections. */
    @Test
    fun `a call that is never answered times out and its connection is not used again`() {
        var hangs = true
        ScriptedServer { _, _ -> if (hangs) "" else response(200, confirmed) }.use { server ->
            withControl { control, sink ->
                control.probe(server.endpoint)
                expectThat(sink.next<Event.ControlFailed>().failure).isEqualTo(ConnectionFailure.TIMED_OUT)
                hangs = false
                control.probe(server.endpoint)
                sink.next<Event.ControlAnswered>()
                expectThat(server.connectionCount).isEqualTo(2)
                expectThat(sink.staysSilent()).isTrue()
            }
        }
    }

    /** Guards against a connection for each of many calls that wait for a slow server. */
    @Test
    fun `many calls at once share a bounded number of connections`() {
        val slow = { _: String, _: String ->
            Thread.sleep(20)
            response(200, confirmed)
        }
        ScriptedServer(slow).use { server ->
            withControl { control, sink ->
                repeat(200) { control.probe(server.endpoint, timeout = 5.seconds) }
                repeat(200) { sink.next<Event.ControlAnswered>() }
                expectThat(server.connectionCount).isLessThanOrEqualTo(64)
            }
        }
    }

    /** Guards against a refused connection that is reported as a timeout: a refusal proves that nothing ran. */
    @Test
    fun `a refused connection is reported as such`() =
        withControl { control, sink ->
            control.probe(ScriptedServer.closedEndpoint())
            expectThat(sink.next<Event.ControlFailed>().failure).isEqualTo(ConnectionFailure.REFUSED)
        }
}
