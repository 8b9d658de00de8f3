package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.ErrorKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

class ReadTest {
    private val harness = RequestHarness()

    // Guards against reads that load the primary although a replica in the region is fresh.
    @Test
    fun `a read goes to a fresh replica and its token covers the position that it saw`() {
        harness.sendRequest(read(), seen = at(9))
        harness.answer(done(at(10), Fixture.REPLICA))

        expectThat(harness.completed.server).isEqualTo(Fixture.REPLICA)
        expectThat(harness.completed.session.positionOf(Fixture.JOBS)).isEqualTo(at(10))
        expectThat(harness.completed.ageMillis).isEqualTo(5L)
        expectThat(harness.counted(CounterName.READS_BY_ROLE)).single().get { label }.isEqualTo("replica")
        expectThat(harness.signalled<Signal.ServerObserved>()).hasSize(1)
        expectThat(harness.signalled<Signal.ConnectionReturned>())
            .single().get { condition }.isEqualTo(ConnectionCondition.CLEAN)
        expectThat(harness.state.requests.pending.toMap()).isEmpty()
    }

    // Guards against a session that does not see its own write because the chosen replica lags.
    @Test
    fun `a read whose session is ahead of the replicas waits briefly and goes to the primary`() {
        harness.sendRequest(read(), seen = at(12))
        expectThat(harness.commands).isEmpty()
        harness.advanceTime(millis = 50)

        expectThat(harness.signalled<Signal.ConnectionRequested>()).single().get { server }.isEqualTo(Fixture.PRIMARY)
        expectThat(harness.lastCommand).isA<SessionCommand.Execute>().get { minimumPosition }.isEqualTo(at(12))
    }

    // Guards against waiting for a replica after it has caught up.
    @Test
    fun `a waiting read continues when a replica is observed at its position`() {
        harness.sendRequest(read(), seen = at(12))
        harness.views.appliedPositions[Fixture.REPLICA] = at(12)
        harness.views.ages[at(12)] = harness.views.ages.getValue(at(10))
        harness.handle(Signal.GroupStatusChanged(Fixture.JOBS))

        expectThat(harness.signalled<Signal.ConnectionRequested>()).single().get { server }.isEqualTo(Fixture.REPLICA)
    }

    // Guards against stale data from an isolated, replaced primary in a read that asks for the newest data.
    @Test
    fun `a read of the newest data is delivered only after leadership is confirmed`() {
        harness.sendRequest(read(maximumAgeMillis = 0))
        harness.answer(done(at(10)))
        expectThat(harness.answers).isEmpty()

        harness.confirmLeadership()
        expectThat(harness.completed.server).isEqualTo(Fixture.PRIMARY)
    }

    // Guards against reading data that a failover discards afterwards.
    @Test
    fun `a read of a position that no majority holds waits for its durability`() {
        harness.sendRequest(read())
        harness.views.ages[at(11)] = harness.views.ages.getValue(at(10))
        harness.answer(done(at(11), Fixture.REPLICA))
        expectThat(harness.answers).isEmpty()

        harness.confirmDurability()
        expectThat(harness.completed.position).isEqualTo(at(11))
    }

    // Guards against an answer that is older than the age that the replica was estimated to have.
    @Test
    fun `an answer that is too old is not delivered and the read is retried at the primary`() {
        harness.sendRequest(read())
        harness.answer(done(at(3), Fixture.REPLICA))

        expectThat(harness.answers).isEmpty()
        expectThat(harness.counted(CounterName.RETRIES)).single().get { label }.isEqualTo("age")
        expectThat(harness.commands).hasSize(2)
    }

    // Guards against data of a replica that has not joined the current term and holds entries that the term lacks.
    @Test
    fun `an answer of an earlier term is not delivered`() {
        harness.sendRequest(read())
        harness.replacePrimary(Fixture.REPLICA, term = 2)
        harness.answer(done(at(10), Fixture.REPLICA))

        expectThat(harness.answers).isEmpty()
        expectThat(harness.commands).hasSize(2)
    }

    // Guards against retries that multiply the load on a failing database.
    @Test
    fun `a read is refused as not run once its three attempts are used up`() {
        harness.sendRequest(read())
        repeat(3) { harness.breakConnection() }

        expectThat(harness.commands).hasSize(3)
        expectThat(harness.refusals).containsExactly(ErrorKind.SERVER_UNREACHABLE)
    }

    // Guards against a burst of failures that triples the load with retries.
    @Test
    fun `no request is retried once the retry budget of its database is used up`() {
        val requests = 1..12L
        requests.forEach { number ->
            harness.sendRequest(read(), number)
            harness.breakConnection()
        }

        expectThat(harness.counted(CounterName.RETRIES)).hasSize(11)
        expectThat(harness.refusals).containsExactly(ErrorKind.SERVER_UNREACHABLE)
    }

    // Guards against a token ahead of the database that makes every server wait or answer with older data.
    @Test
    fun `a token that is ahead of the confirmed primary is refused`() {
        harness.sendRequest(read(maximumAgeMillis = 0), seen = at(99))
        harness.answer(SessionAnswer.Behind(status()))
        harness.confirmLeadership()

        expectThat(harness.refusals).containsExactly(ErrorKind.FUTURE_TOKEN)
    }

    // Guards against failing reads at a saturated replica although another server could serve them.
    @Test
    fun `a read that gets no connection to a replica goes to another server`() {
        harness.denials[Fixture.REPLICA] = ErrorKind.OVERLOADED
        harness.sendRequest(read())

        expectThat(harness.signalled<Signal.ConnectionRequested>().map { it.server })
            .containsExactly(Fixture.REPLICA, Fixture.PRIMARY)
    }
}
