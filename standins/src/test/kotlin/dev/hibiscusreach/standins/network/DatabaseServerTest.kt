package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.SessionRequest
import dev.hibiscusreach.core.event.SessionResponse
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.standins.database.DatabaseServerSettings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class DatabaseServerTest {
    private val servers =
        listOf("a", "b").map {
            DatabaseServer(DatabaseServerSettings(ServerName(it), connectionLimit = 1), timing = ServerTiming(1))
        }
    private val clients = mutableListOf<TestClient>()
    private val proposer = NodeIdentity(Endpoint("127.0.0.1", 1), startedAtMillis = 1, nonce = 1)

    init {
        val endpoints = servers.associate { it.settings.name to it.ports.control }
        servers.forEach { it.join(endpoints - it.settings.name) }
        servers.forEach { control(it, ControlCommand.Fence(Term(1), proposer)) }
        control(servers[0], ControlCommand.Promote(Term(1), proposer))
        control(servers[1], ControlCommand.Follow(Term(1), ServerName("a")))
    }

    @AfterEach
    fun close() {
        clients.forEach(TestClient::close)
        servers.forEach(DatabaseServer::close)
    }

    private fun connect(endpoint: Endpoint) = TestClient(endpoint).also(clients::add)

    private fun control(server: DatabaseServer, command: ControlCommand): ControlAnswer {
        val body = WireJson.encodeToString(ControlCommand.serializer(), command)
        return WireJson.decodeFromString(connect(server.ports.control).call("POST /control", body)!!.body)
    }

    private fun execute(client: TestClient, text: String, write: Boolean): SessionAnswer? {
        val command = SessionCommand.Execute(Term(1), listOf(Statement(text)), write, Position.ORIGIN)
        val request = SessionRequest(AttemptNumber(PartName.REQUESTS, 1), command)
        val response = client.call("POST /session", WireJson.encodeToString(SessionRequest.serializer(), request))
        return response?.let { WireJson.decodeFromString(SessionResponse.serializer(), it.body).answer }
    }

    @Test
    fun `a confirm waits for replication over HTTP, so that a write is acknowledged only when a replica holds it`() {
        val session = connect(servers[0].ports.session)
        session.call("GET /session")
        val done = execute(session, "put k v", write = true) as SessionAnswer.Done

        expectThat(control(servers[1], ControlCommand.Confirm(Term(1), done.position, waitMillis = 5_000)))
            .isA<ControlAnswer.Confirmed>()
            .get { status.applied }
            .isEqualTo(done.position)
    }

    @Test
    fun `a confirm ends with its wait while the replica lags, so that its caller is not kept waiting`() {
        connect(servers[1].ports.admin).call("POST /faults", """{"replicationDelayMillis": 60000}""")
        val session = connect(servers[0].ports.session)
        session.call("GET /session")
        val done = execute(session, "put k v", write = true) as SessionAnswer.Done

        expectThat(control(servers[1], ControlCommand.Confirm(Term(1), done.position, waitMillis = 20)))
            .isA<ControlAnswer.Refused>()
    }

    @Test
    fun `a connection above the limit gets 503 and is closed, so that a refusal is a normal answer`() {
        connect(servers[0].ports.session).call("GET /session")
        val refused = connect(servers[0].ports.session)

        expectThat(refused.call("GET /session")?.status).isEqualTo(503)
        expectThat(refused.call("GET /session")).isNull()
    }

    @Test
    fun `silenced connections stop answering while new ones work, as a stuck connection does`() {
        val admin = connect(servers[0].ports.admin)
        val stuck = connect(servers[0].ports.control)
        stuck.call("POST /control", """{"type":"probe"}""")
        admin.call("POST /faults", """{"silenceOpenConnections": true}""")

        expectThat(stuck.call("POST /control", """{"type":"probe"}""", timeoutMillis = 50)).isNull()
        expectThat(control(servers[0], ControlCommand.Probe)).isA<ControlAnswer.Confirmed>()
    }

    @Test
    fun `an isolated server drops all traffic and works again afterwards, as after a partition`() {
        val admin = connect(servers[0].ports.admin)
        admin.call("POST /faults", """{"isolated": true}""")
        val session = connect(servers[0].ports.session)
        val control = connect(servers[0].ports.control)

        expectThat(session.call("GET /session", timeoutMillis = 50)).isNull()
        expectThat(control.call("POST /control", """{"type":"probe"}""", timeoutMillis = 50)).isNull()
        admin.call("POST /faults", """{"isolated": false}""")
        expectThat(control(servers[0], ControlCommand.Probe)).isA<ControlAnswer.Confirmed>()
    }
}
