package dev.hibiscusreach.systemtests.processes

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

@ExtendWith(FleetExtension::class)
internal class BadInputProcessTest(private val fleet: ProcessFleet) {
    private val port = fleet.proxies.first().caller

    // Guards against invalid requests that get an undocumented error, end the connection or reach a server.
    @Test
    fun `a request that is invalid gets its documented error and the next one on the connection is served`() {
        RawConnection(port).use { connection ->
            val cases =
                mapOf(
                    RawRequest(body = """{"statements":[{"text":"get""") to (BAD_REQUEST to "malformed-request"),
                    RawRequest(session = forgedToken()) to (BAD_REQUEST to "invalid-token"),
                    RawRequest(caller = "nobody") to (FORBIDDEN to "unknown-caller"),
                    RawRequest(database = "nothing") to (NOT_FOUND to "unknown-database"),
                )
            for ((request, expected) in cases) {
                connection.send(request.text)
                connection.receive().expectRefused(expected.first, expected.second)
                connection.send(RawRequest().text)
                expectThat(connection.receive()).get { succeeded }.isTrue()
            }
        }
    }

    // Guards against a body that is kept in memory although it is larger than allowed.
    @Test
    fun `a body that is too large is refused before it is sent`() {
        RawConnection(port).use { connection ->
            connection.send(RawRequest(body = "", contentLength = OVERSIZED_BYTES).text)
            connection.receive().expectRefused(TOO_LARGE, "request-too-large")
        }
    }

    // Guards against answers of one connection that reach the wrong request.
    @Test
    fun `pipelined requests are answered in their order`() {
        val requests = List(PIPELINED) { RawRequest(requestId = "pipelined-$it") }
        RawConnection(port).use { connection ->
            connection.send(requests.joinToString("") { it.text })
            for (request in requests) {
                expectThat(connection.receive()) {
                    get { succeeded }.isTrue()
                    get { requestId }.isEqualTo(request.requestId)
                }
            }
        }
    }

    // Guards against a request that runs although its caller stopped within it.
    @Test
    fun `a connection that is half closed within a request is told that the request is incomplete`() {
        RawConnection(port).use { connection ->
            connection.send(RawRequest().text.dropLast(1))
            connection.closeOutput()
            connection.receive().expectRefused(TIMEOUT, "request-incomplete")
        }
    }

    // Guards against an answer that is dropped because its caller has nothing more to send.
    @Test
    fun `a connection that is half closed after a request gets its answer`() {
        RawConnection(port).use { connection ->
            connection.send(RawRequest().text)
            connection.closeOutput()
            expectThat(connection.receive()).get { succeeded }.isTrue()
        }
    }

    // Guards against bad input of one caller that disturbs the requests of others on the same proxy.
    @Test
    fun `other callers go on while one sends bad input`() {
        val drive = Drive(fleet, "bad-input-drive", DRIVE_MILLIS, "--forbid-broken")
        awaitTrue("the drive has ended") {
            val connections = List(BAD_CONNECTIONS) { RawConnection(port) }
            connections.forEach { it.send(RawRequest(body = "", contentLength = OVERSIZED_BYTES).text) }
            connections.forEach { it.close() }
            !fleet.processes.isAlive("bad-input-drive")
        }
        drive.expectExact()
        expectThat(drive.attempts.map { it.outcome }.toSet()).isEqualTo(setOf("ok"))
    }

    private fun forgedToken(): String {
        val token = expectThat(fleet.caller.read(port, "raw").session).isNotNull().subject
        val first = if (token.first() == 'e') 'f' else 'e'
        return first + token.drop(1)
    }

    private fun CallerReply.expectRefused(status: Int, kind: String) {
        expectThat(this) {
            get { this.status }.isEqualTo(status)
            get { this.kind }.isEqualTo(kind)
            get { ran }.isEqualTo("not run")
        }
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val FORBIDDEN = 403
        const val NOT_FOUND = 404
        const val TIMEOUT = 408
        const val TOO_LARGE = 413

        /** The default limit is 524,288 bytes. */
        const val OVERSIZED_BYTES = 600_000
        const val PIPELINED = 5
        const val DRIVE_MILLIS = 2_000
        const val BAD_CONNECTIONS = 10
    }
}
