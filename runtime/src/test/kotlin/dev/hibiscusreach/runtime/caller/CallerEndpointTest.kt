package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.SessionToken
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.runtime.RecordingSink
import dev.hibiscusreach.runtime.withNetwork
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import kotlin.random.Random

class CallerEndpointTest {
    private class Fixture(val endpoint: CallerEndpoint, val sink: RecordingSink, val address: Endpoint) {
        fun caller() = RawCaller(address)

        fun arrival() = sink.next<Event.RequestArrived>()

        fun complete(arrival: Event.RequestArrived) {
            val answer = CallerAnswer.Completed(results = emptyList(), session = SessionToken())
            endpoint.answer(Effect.AnswerCaller(arrival.arrival, arrival.request.identifier, answer))
        }
    }

    private fun serve(limits: CallerLimits = CallerLimits(), test: Fixture.() -> Unit) =
        withNetwork { group ->
            val sink = RecordingSink()
            CallerEndpoint(sink, TokenSigner(ByteArray(32)), limits, observer = { _, _ -> }).use { endpoint ->
                Fixture(endpoint, sink, endpoint.bind(group, Endpoint("127.0.0.1", port = 0))).test()
            }
        }

    private fun RawCaller.read(id: String, vararg headers: String) =
        post(STATEMENTS, READ, CALLER, "Hibiscusreach-Request-Id: $id", *headers)

    private fun RawCaller.expectRefusal(kind: ErrorKind) {
        val response = read()
        expectThat(response.status).isEqualTo(kind.httpStatus)
        expectThat(response.body).contains("\"kind\":\"${kind.label}\"").contains("\"ran\":\"not run\"")
    }

    /** Guards against answers that are matched to another request of the same connection. */
    @Test
    fun `answers to pipelined requests keep the order of the requests`() = serve {
        caller().use { caller ->
            listOf("first", "second", "third").forEach { caller.read(it) }
            val arrivals = List(3) { arrival() }
            arrivals.reversed().forEach(::complete)
            val answered = List(3) { caller.read().body.substringAfter("requestId\":\"").substringBefore('"') }
            expectThat(answered).isEqualTo(listOf("first", "second", "third"))
        }
    }

    /** Guards against memory that grows with the number of pipelined requests of one caller. */
    @Test
    fun `requests above the limit of a connection are read after the answers`() =
        serve(CallerLimits(maximumInFlight = 2)) {
            caller().use { caller ->
                repeat(5) { caller.read("r$it") }
                val first = List(2) { arrival() }
                expectThat(sink.staysSilent()).isTrue()
                first.forEach(::complete)
                repeat(3) { complete(arrival()) }
                val answers = List(5) { caller.read().body }
                expectThat(answers.last()).contains("\"requestId\":\"r4\"")
            }
        }

    /** Guards against an interim response that a caller takes for the answer to an earlier request. */
    @Test
    fun `a caller that expects 100-continue gets it unless an earlier answer is outstanding`() = serve {
        caller().use { caller ->
            val head = "POST $STATEMENTS HTTP/1.1\r\n$CALLER\r\nExpect: 100-continue\r\n"
            caller.write("${head}Content-Length: ${READ.length}\r\n\r\n")
            expectThat(caller.read().status).isEqualTo(100)
            caller.write(READ)
            val arrival = arrival()
            caller.write("${head}Content-Length: ${READ.length}\r\n\r\n$READ")
            listOf(arrival, arrival()).forEach(::complete)
            expectThat(List(2) { caller.read().status }).isEqualTo(listOf(200, 200))
        }
    }

    /** Guards against requests that hold memory while they arrive slowly. */
    @Test
    fun `a slow request is refused as incomplete`() = serve(CallerLimits(receiveTimeout = 150.milliseconds)) {
        caller().use { caller ->
            caller.write("POST $STATEMENTS HTTP/1.1\r\nHost: pro")
            caller.expectRefusal(ErrorKind.REQUEST_INCOMPLETE)
            expectThat(caller.isClosed()).isTrue()
        }
    }

    /** Guards against an unbounded body, declared or not. */
    @Test
    fun `an oversized request is refused`() = serve(CallerLimits(maximumBodyBytes = 1_024)) {
        caller().use { caller ->
            caller.post(STATEMENTS, "x".repeat(1_025), CALLER)
            caller.expectRefusal(ErrorKind.REQUEST_TOO_LARGE)
        }
        caller().use { caller ->
            val chunk = "400\r\n${"x".repeat(1_024)}\r\n"
            caller.write("POST $STATEMENTS HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n$chunk$chunk")
            caller.expectRefusal(ErrorKind.REQUEST_TOO_LARGE)
        }
        caller().use { caller ->
            caller.post(STATEMENTS, READ, "Long: ${"x".repeat(20_000)}")
            caller.expectRefusal(ErrorKind.REQUEST_TOO_LARGE)
        }
    }

    /** Guards against many small requests that together exceed the memory limit. */
    @Test
    fun `requests above the common buffer are refused and the buffer is returned`() =
        serve(CallerLimits(maximumBufferedBytes = READ.length + 10L)) {
            val waiting = caller()
            waiting.read("waiting")
            val arrival = arrival()
            caller().use { caller ->
                caller.read("refused")
                caller.expectRefusal(ErrorKind.OVERLOADED)
            }
            complete(arrival)
            waiting.read()
            waiting.read("next")
            expectThat(arrival().request.identifier.value).isEqualTo("next")
            waiting.reset()
            sink.next<Event.CallerDisconnected>()
            caller().use { caller ->
                caller.read("last")
                complete(arrival())
                expectThat(caller.read().status).isEqualTo(200)
            }
        }

    /** Guards against lost answers of callers that close their sending side. */
    @Test
    fun `a half-closed connection gets its answer and is closed`() = serve {
        caller().use { caller ->
            caller.read("only")
            caller.endOutput()
            complete(arrival())
            expectThat(caller.read().status).isEqualTo(200)
            expectThat(caller.isClosed()).isTrue()
        }
    }

    /** Guards against execution of a truncated request. */
    @Test
    fun `a request cut off by a half-close is refused and never arrives`() = serve {
        caller().use { caller ->
            caller.write("POST $STATEMENTS HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")
            caller.endOutput()
            caller.expectRefusal(ErrorKind.REQUEST_INCOMPLETE)
            expectThat(sink.events.poll()).isNull()
        }
    }

    /** Guards against events for invalid requests, and against a fault on one connection that affects another. */
    @Test
    fun `malformed requests are refused without an event`() = serve {
        val withCaller = arrayOf(CALLER)
        val cases =
            listOf<RawCaller.() -> Unit>(
                { write("\u0001\u0002 nonsense\r\n\r\n") },
                { write("POST $STATEMENTS HTTP/1.1\r\nContent-Length: abc\r\n\r\n") },
                { write("POST $STATEMENTS HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}") },
                { write("POST $STATEMENTS HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") },
                { post(STATEMENTS, "{", *withCaller) },
                { post(STATEMENTS, """{"statements":[],"access":"read"}""", *withCaller) },
                { post(STATEMENTS, READ.replace("access", "acces"), *withCaller) },
                { post(STATEMENTS, READ.dropLast(1) + ""","repeatible":true}""", *withCaller) },
                { post(STATEMENTS, READ.dropLast(1) + ""","deadlineMillis":0}""", *withCaller) },
                { post(STATEMENTS, READ) },
                { post(STATEMENTS, READ, CALLER, CALLER) },
                { post(STATEMENTS, READ, CALLER, "Hibiscusreach-Request-Id: a b") },
                { post(STATEMENTS, READ.replace("read", "write"), CALLER) },
                { post(STATEMENTS, READ.replace("read", "write").dropLast(1) + ""","createdAtMillis":1}""", CALLER) },
                { post("/v1/databases/a%20b/statements", READ, CALLER) },
            )
        cases.forEach { case -> caller().use { it.apply(case).expectRefusal(ErrorKind.MALFORMED_REQUEST) } }
        caller().use { it.apply { post("/v2/x", "", CALLER) }.expectRefusal(ErrorKind.NO_SUCH_RESOURCE) }
        expectThat(sink.events.poll()).isNull()
    }

    /** Guards against input that breaks the endpoint for other callers, or that gets no answer. */
    @Test
    fun `random input is answered and leaves the endpoint working`() = serve {
        sink.listener = { if (it is Event.RequestArrived) complete(it) }
        val random = Random(11)
        val request = "POST $STATEMENTS HTTP/1.1\r\n$CALLER\r\nContent-Length: ${READ.length}\r\n\r\n$READ"
        repeat(200) {
            caller().use { caller ->
                val bytes = request.toCharArray()
                repeat(1 + random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt(1, 127).toChar() }
                caller.write(String(bytes))
                caller.endOutput()
                expectThat(caller.readAll()).startsWith("HTTP/1.1 ")
            }
        }
        caller().use { caller ->
            caller.read("works")
            expectThat(caller.read().body).contains("\"requestId\":\"works\"")
        }
    }

    /** Guards against forged tokens that reach the reducer. */
    @Test
    fun `a forged token is refused`() = serve {
        caller().use { caller ->
            caller.read("forged", "Hibiscusreach-Session: ${TokenSigner(ByteArray(32) { 1 }).sign(SessionToken())}")
            caller.expectRefusal(ErrorKind.INVALID_TOKEN)
        }
    }

    /** Guards against connections that are accepted without a bound. */
    @Test
    fun `a connection above the limit is refused`() = serve(CallerLimits(maximumConnections = 1)) {
        caller().use { first ->
            first.read("first")
            complete(arrival())
            first.read()
            caller().use { second ->
                second.expectRefusal(ErrorKind.OVERLOADED)
                expectThat(second.isClosed()).isTrue()
            }
        }
    }

    /** Guards against idle connections that accumulate. */
    @Test
    fun `an idle connection is closed, one that waits for its answer is not`() =
        serve(CallerLimits(idleTimeout = 100.milliseconds)) {
            caller().use { caller ->
                caller.read("slow")
                val arrival = arrival()
                expectThat(sink.staysSilent()).isTrue()
                complete(arrival)
                expectThat(caller.read().status).isEqualTo(200)
                expectThat(caller.isClosed()).isTrue()
            }
        }

    /** Guards against work for callers that have disconnected. */
    @Test
    fun `a caller that disconnects is reported`() = serve {
        val caller = caller()
        caller.read("gone")
        val arrival = arrival()
        caller.reset()
        expectThat(sink.next<Event.CallerDisconnected>().arrival).isEqualTo(arrival.arrival)
        expectThat(endpoint.requestsInFlight).isEqualTo(0)
    }

    /** Guards against a graceful shutdown that interrupts requests. */
    @Test
    fun `draining answers what is in flight and closes the connection`() = serve {
        val idle = caller()
        val busy = caller()
        busy.read("busy")
        val arrival = arrival()
        endpoint.drainAdvanced(DrainPhase.LEAVING)
        idle.read("late")
        complete(arrival())
        val late = idle.read()
        expectThat(late.status).isEqualTo(200)
        expectThat(late.headers["connection"]).isEqualTo("close")
        endpoint.drainAdvanced(DrainPhase.FINISHING)
        complete(arrival)
        expectThat(busy.read().headers["connection"]).isEqualTo("close")
        expectThat(busy.isClosed()).isTrue()
        listOf(idle, busy).forEach(RawCaller::close)
    }

    private companion object {
        const val STATEMENTS = "/v1/databases/jobs/statements"
        const val READ = """{"statements":[{"text":"get a"}],"access":"read"}"""
        const val CALLER = "Hibiscusreach-Caller: tablet"
    }
}
