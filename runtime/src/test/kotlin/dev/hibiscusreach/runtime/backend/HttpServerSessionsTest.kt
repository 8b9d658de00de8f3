package dev.hibiscusreach.runtime.backend

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.SessionResponse
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.runtime.RecordingSink
import dev.hibiscusreach.runtime.ScriptedServer
import dev.hibiscusreach.runtime.ScriptedServer.Companion.response
import dev.hibiscusreach.runtime.withNetwork
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class HttpServerSessionsTest {
    private val connection = ConnectionNumber(1)
    private val attempt = AttemptNumber(PartName.REQUESTS, 5)
    private val limits = SessionLimits(openTimeout = 300.milliseconds, answerTimeout = 300.milliseconds)
    private val answer =
        SessionAnswer.Done(
            status = ServerStatus(ServerName("jobs-1"), Term(1), ServerRole.PRIMARY, applied = Position.ORIGIN),
            position = Position.ORIGIN,
        )
    private val answered =
        ServerWire.json.encodeToString(SessionResponse.serializer(), SessionResponse(attempt, answer))

    private fun open(endpoint: Endpoint, test: (HttpServerSessions, RecordingSink) -> Unit) =
        withNetwork { group ->
            val sink = RecordingSink()
            HttpServerSessions(group, sink, limits).use { sessions ->
                sessions.open(Effect.OpenConnection(connection, ServerName("jobs-1"), endpoint))
                test(sessions, sink)
            }
        }

    private fun HttpServerSessions.sendRollback() =
        send(Effect.SendSessionCommand(connection, attempt, SessionCommand.Rollback(Term(1))))

    private fun expectOpenFailure(endpoint: Endpoint, failure: ConnectionFailure) =
        open(endpoint) { sessions, sink ->
            expectThat(sink.next<Event.ConnectionOpenFailed>().failure).isEqualTo(failure)
            expectThat(sessions.connectionCount).isEqualTo(0)
        }

    /** Guards against answers that are not matched to their attempt, and against a second TCP connection. */
    @Test
    fun `commands are answered on the connection that was opened`() {
        val server = ScriptedServer { request, _ -> response(200, if ("GET" in request) "" else answered) }
        server.use {
            open(server.endpoint) { sessions, sink ->
                sink.next<Event.ConnectionOpened>()
                repeat(2) {
                    sessions.sendRollback()
                    expectThat(sink.next<Event.SessionAnswered>())
                        .isEqualTo(Event.SessionAnswered(connection, attempt, answer))
                }
                expectThat(server.connectionCount).isEqualTo(1)
            }
        }
    }

    /** Guards against failures reported with the wrong cause, since the reducer decides by the cause. */
    @Test
    fun `failures to open report their cause`() {
        expectOpenFailure(ScriptedServer.closedEndpoint(), ConnectionFailure.REFUSED)
        ScriptedServer { _, _ -> response(503) }
            .use { expectOpenFailure(it.endpoint, ConnectionFailure.LIMIT_REACHED) }
        ScriptedServer { _, _ -> null }.use { expectOpenFailure(it.endpoint, ConnectionFailure.BROKEN) }
        ScriptedServer { _, _ -> "" }.use { expectOpenFailure(it.endpoint, ConnectionFailure.TIMED_OUT) }
    }

    /** Guards against commands that wait forever, and against invalid answers that count as success. */
    @Test
    fun `a connection that breaks, hangs or sends an invalid answer is reported as closed once`() {
        for (faulty in listOf(null, "", response(200, "nonsense"), response(500))) {
            ScriptedServer { request, _ -> if ("GET" in request) response(200) else faulty }.use { server ->
                open(server.endpoint) { sessions, sink ->
                    sink.next<Event.ConnectionOpened>()
                    sessions.sendRollback()
                    sink.next<Event.ConnectionClosed>()
                    expectThat(sink.staysSilent()).isTrue()
                }
            }
        }
    }

    /** Guards against events about a connection that the reducer has closed. */
    @Test
    fun `no event follows after a connection is closed`() {
        ScriptedServer { request, _ -> response(200, if ("GET" in request) "" else answered) }.use { server ->
            open(server.endpoint) { sessions, sink ->
                sink.next<Event.ConnectionOpened>()
                sessions.sendRollback()
                sessions.close(connection)
                sessions.sendRollback()
                expectThat(sink.staysSilent()).isTrue()
            }
        }
    }
}
