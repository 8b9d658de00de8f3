package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.SessionToken
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull

class WriteTest {
    private val harness = RequestHarness()

    // Guards against losing an acknowledged write in a failover.
    @Test
    fun `a write is acknowledged once a majority holds its position`() {
        harness.sendRequest(write())
        harness.answer(done(at(11)))
        expectThat(harness.answers).isEmpty()

        harness.confirmDurability()
        expectThat(harness.completed.session.positionOf(Fixture.JOBS)).isEqualTo(at(11))
        expectThat(harness.lastCommand).isA<SessionCommand.Execute>().get { idempotencyKey }.isNotNull()
    }

    // Guards against a write that ran and is reported as failed or runs again because its answer was lost.
    @Test
    fun `a write whose answer is lost after it ran is resolved from its record`() {
        harness.sendRequest(write())
        harness.breakConnection()
        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>()

        harness.answer(done(at(11)))
        expectThat(harness.answers).isEmpty()
        harness.confirmDurability()
        expectThat(harness.lastCommand).isA<SessionCommand.Execute>()
        harness.views.durablePosition = at(11)
        harness.answer(done(at(11)).copy(replayed = true))
        expectThat(harness.completed.results).isEqualTo(Fixture.RESULTS)
    }

    // Guards against returning the results of another request with the same identifier after a lost answer.
    @Test
    fun `a lost write with a reused identifier does not get the results of the other request`() {
        harness.sendRequest(write())
        harness.breakConnection()
        harness.answer(done(at(10)))
        harness.answer(SessionAnswer.IdentifierReused(status()))

        expectThat(harness.refusals).containsExactly(ErrorKind.REQUEST_IDENTIFIER_REUSED)
    }

    // Guards against reporting "not run" while a failover can still lose the cancellation record.
    @Test
    fun `a write that is cancelled is refused as not run only once the cancellation is durable`() {
        harness.sendRequest(write())
        harness.breakConnection()
        harness.answer(SessionAnswer.Cancelled(status(), at(11)))
        expectThat(harness.answers).isEmpty()

        harness.confirmDurability()
        expectThat(harness.refusals).containsExactly(ErrorKind.REQUEST_CANCELLED)
    }

    // Guards against delivering an answer to another request, or accepting it after its request was given up.
    @Test
    fun `crossed and late answers are discarded and counted`() {
        harness.sendRequest(write(), number = 1)
        val first = harness.commands.last()
        harness.sendRequest(write(), number = 2)
        val second = harness.commands.last()
        harness.answer(first.copy(connection = second.connection), done(at(11)))
        harness.answer(first.copy(connection = ConnectionNumber(99)), done(at(11)))
        harness.advanceTime(millis = 2_000)
        harness.answer(first, done(at(11)))

        expectThat(harness.answers).isEmpty()
        expectThat(harness.counted(CounterName.DISCARDED_ANSWERS).map { it.label })
            .containsExactly("connection", "connection", "attempt")
    }

    // Guards against a repeated write that is never answered, because its record precedes the primary's term and this
    // proxy does not know where that term began.
    @Test
    fun `the record of a repeated write from an earlier term is verified by the primary's applied position`() {
        harness.replacePrimary(Fixture.REPLICA, term = 2)
        harness.sendRequest(write())
        val reached = status(Fixture.REPLICA, term = 2).copy(role = ServerRole.PRIMARY, applied = at(20, term = 2))
        harness.answer(SessionAnswer.Done(reached, Fixture.RESULTS, at(11), replayed = true))

        expectThat(harness.signalled<Signal.DurabilityRequested>().last().position).isEqualTo(at(20, term = 2))
        harness.confirmDurability()
        expectThat(harness.completed.session.positionOf(Fixture.JOBS)).isEqualTo(at(11))
    }

    // Guards against an acknowledgement by a replaced primary, and against an outage that lasts until the timeout.
    @Test
    fun `a write that is in flight when the primary is replaced is resolved at the new one`() {
        harness.sendRequest(write())
        val sent = harness.commands.last()
        harness.replacePrimary(server = null, term = 2)
        harness.answer(sent, done(at(11)))
        expectThat(harness.answers).isEmpty()

        harness.replacePrimary(Fixture.REPLICA, term = 2)
        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>().get { term }.isEqualTo(harness.views.term)
        harness.answer(SessionAnswer.Cancelled(status(Fixture.REPLICA, term = 2), at(1, term = 2)))
        harness.confirmDurability()
        expectThat(harness.refusals).containsExactly(ErrorKind.REQUEST_CANCELLED)
    }

    // Guards against reporting a write as run or not run while a failover can still lead to either outcome.
    @Test
    fun `a write that never becomes durable or resolved is reported as unknown at its deadline`() {
        harness.sendRequest(write(), deadline = 3_000)
        harness.answer(done(at(11)))
        harness.failDurability()
        harness.replacePrimary(server = null, term = 2)
        harness.advanceTime(millis = 3_000)

        expectThat(harness.refusals).containsExactly(ErrorKind.OUTCOME_UNKNOWN)
    }

    // Guards against sending a write to a primary that is known to be replaced.
    @Test
    fun `a write without a primary waits for the new one and then runs`() {
        harness.replacePrimary(server = null, term = 2)
        harness.sendRequest(write())
        expectThat(harness.commands).isEmpty()

        harness.replacePrimary(Fixture.REPLICA, term = 2)
        expectThat(harness.commands).hasSize(1)
    }

    // Guards against requests that accumulate during a long outage.
    @Test
    fun `a write without a primary is refused after a few seconds`() {
        harness.views.primary = null
        harness.sendRequest(write())
        harness.advanceTime(millis = 5_000)

        expectThat(harness.refusals).containsExactly(ErrorKind.NO_PRIMARY)
    }

    // Guards against endless signals when the pools part denies connections to a dead primary at once.
    @Test
    fun `a write whose primary cannot be reached waits for another primary`() {
        harness.denials[Fixture.PRIMARY] = ErrorKind.SERVER_UNREACHABLE
        harness.sendRequest(write())
        harness.advanceTime(millis = 600)
        harness.replacePrimary(Fixture.REPLICA, term = 2)

        expectThat(harness.commands).hasSize(1)
        expectThat(harness.answers).isEmpty()
    }

    // Guards against answering a different request that reuses an identifier with the recorded results.
    @Test
    fun `a reused identifier is refused and different statements have different fingerprints`() {
        harness.sendRequest(write())
        val key = (harness.lastCommand as SessionCommand.Execute).idempotencyKey
        harness.answer(SessionAnswer.IdentifierReused(status()))
        harness.sendRequest(write().copy(statements = read().statements))

        expectThat(harness.refusals).containsExactly(ErrorKind.REQUEST_IDENTIFIER_REUSED)
        expectThat((harness.lastCommand as SessionCommand.Execute).idempotencyKey).isNotEqualTo(key)
    }

    // Guards against a write that runs again after its idempotency record has expired.
    @Test
    fun `a write that is too old, has no creation time or one in the future is refused and nothing is sent`() {
        val retention = 23 * 60 * 60 * 1_000L
        harness.sendRequest(write(createdAtMillis = Fixture.WALL_CLOCK - retention - 1), number = 1)
        harness.sendRequest(write(createdAtMillis = null), number = 2)
        harness.sendRequest(write(createdAtMillis = Fixture.WALL_CLOCK + 600_000), number = 3)

        expectThat(harness.refusals)
            .containsExactly(ErrorKind.REQUEST_TOO_OLD, ErrorKind.MALFORMED_REQUEST, ErrorKind.MALFORMED_REQUEST)
        expectThat(harness.commands).isEmpty()
    }

    // Guards against processing requests that refer to nothing in the inventory or have no statements.
    @Test
    fun `a request of an unknown caller, without statements or with a foreign token is refused`() {
        harness.sendRequest(write(), number = 1, caller = CallerName("stranger"))
        harness.sendRequest(write().copy(statements = emptyList()), number = 2)
        val foreign = SessionToken(mapOf(DatabaseName("other") to at(1)))
        harness.handle(Event.RequestArrived(ArrivalNumber(3), harness.request(write()).copy(session = foreign)))

        expectThat(harness.refusals)
            .containsExactly(ErrorKind.UNKNOWN_CALLER, ErrorKind.MALFORMED_REQUEST, ErrorKind.FOREIGN_TOKEN)
        expectThat(harness.commands).isEmpty()
    }

    // Guards against a leaked connection that was granted after its request had ended.
    @Test
    fun `a connection that is granted after its request ended is returned`() {
        harness.handle(Signal.ConnectionGranted(AttemptNumber(PartName.REQUESTS, value = 9), ConnectionNumber(9)))

        expectThat(harness.signalled<Signal.ConnectionReturned>()).hasSize(1)
    }

    // Guards against reporting "not run" for a repeatable write whose first attempt may have run.
    @Test
    fun `a repeatable write that fails after a lost answer is reported as unknown`() {
        harness.sendRequest(write(repeatable = true))
        harness.breakConnection()
        expectThat(harness.lastCommand).isA<SessionCommand.Execute>()
        harness.answer(SessionAnswer.Rejected(status(), "no such table"))

        expectThat(harness.refusals).containsExactly(ErrorKind.OUTCOME_UNKNOWN)
    }

    // Guards against reporting "not run" at the deadline for a command that was sent.
    @Test
    fun `an expired request is reported as not run before its command was sent and as unknown afterwards`() {
        harness.views.primary = null
        harness.sendRequest(write(), number = 1, deadline = 400)
        harness.advanceTime(millis = 400)
        harness.views.primary = Fixture.PRIMARY
        harness.sendRequest(write(), number = 2, deadline = 400)
        harness.advanceTime(millis = 400)
        harness.sendRequest(write(), number = 3, deadline = 400)
        harness.answer(done(at(11)))
        harness.advanceTime(millis = 400)

        expectThat(harness.refusals)
            .containsExactly(ErrorKind.DEADLINE_EXCEEDED, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.OUTCOME_UNKNOWN)
    }

    // Guards against a request that waits for a connection forever, and against a connection granted to no request.
    @Test
    fun `a request that gets no connection in time cancels its connection request and is refused`() {
        harness.poolsRespond = false
        harness.sendRequest(write(), number = 1, deadline = 400)
        harness.sendRequest(write(), number = 2)
        harness.advanceTime(millis = 1_200)

        expectThat(harness.refusals).containsExactly(ErrorKind.DEADLINE_EXCEEDED, ErrorKind.OVERLOADED)
        expectThat(harness.signalled<Signal.ConnectionRequestCancelled>()).hasSize(2)
    }

    // Guards against a refused outcome query that reads as "the write did not run".
    @Test
    fun `an outcome query is answered from the record or as unknown`() {
        val question = RequestBody.ResolveOutcome(RequestIdentifier("request-1"))
        harness.sendRequest(question, number = 2)
        harness.answer(done(at(10)).copy(replayed = true))
        harness.views.primary = null
        harness.sendRequest(question, number = 3, deadline = 300)
        harness.advanceTime(millis = 300)

        expectThat(harness.answers.first()).isA<CallerAnswer.Completed>().get { replayed }.isEqualTo(true)
        expectThat(harness.answers.last()).isA<CallerAnswer.Refused>().get { kind }
            .isEqualTo(ErrorKind.OUTCOME_UNKNOWN)
    }
}
