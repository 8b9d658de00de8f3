package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.RequestBody
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.last

class DrainTest {
    private val harness = RequestHarness()

    // Guards against refusing requests that the load balancer still sends until it notices that the proxy is not ready.
    @Test
    fun `a leaving proxy still accepts requests during the notice time`() {
        harness.handle(Event.DrainRequested)
        harness.advanceTime(millis = 900)
        harness.sendRequest(write())
        harness.advanceTime(millis = 200)
        harness.answer(done(at(10)))

        expectThat(harness.answers.single()).isA<CallerAnswer.Completed>()
        expectThat(phases()).containsExactly(DrainPhase.LEAVING, DrainPhase.FINISHING, DrainPhase.FINISHED)
        expectThat(harness.effects).last().isA<Effect.Exit>()
    }

    // Guards against a shutdown that never ends because new requests keep arriving.
    @Test
    fun `a finishing proxy refuses new requests of callers and peers`() {
        val transaction = harness.beginTransaction()
        enterFinishingPhase()
        harness.sendRequest(write(), number = 2)
        val forwarded = PeerMessage.ForwardedRequest(ArrivalNumber(5), hops = 1, harness.request(write(), number = 3))
        harness.handle(Event.PeerMessageReceived(Fixture.node(port = 2), forwarded))

        expectThat((harness.answers.last() as CallerAnswer.Refused).kind).isEqualTo(ErrorKind.DRAINING)
        expectThat(harness.sent<PeerMessage.ForwardedAnswer>().single().answer)
            .isA<CallerAnswer.Refused>().get { kind }.isEqualTo(ErrorKind.DRAINING)
        expectThat(harness.state.requests.transactions.keys).contains(transaction)
    }

    // Guards against interrupting a transaction that would end before the drain limit.
    @Test
    fun `an open transaction can commit while the proxy finishes`() {
        val transaction = harness.beginTransaction()
        enterFinishingPhase()
        harness.sendRequest(RequestBody.CommitTransaction(transaction, Fixture.WALL_CLOCK), number = 2)
        harness.answer(done(at(11)))
        expectThat(harness.effects).doesNotContain(Effect.Exit)
        harness.confirmDurability()

        expectThat(harness.answers.last()).isA<CallerAnswer.Completed>()
        expectThat(harness.effects).last().isA<Effect.Exit>()
    }

    // Guards against an open transaction that blocks the exit, and against a wrong outcome for its caller.
    @Test
    fun `a transaction that exceeds the drain limit is ended as not run and the proxy exits`() {
        val transaction = harness.beginTransaction()
        enterFinishingPhase()
        repeat(5) { round ->
            harness.advanceTime(millis = 2_000)
            harness.sendRequest(RequestBody.TransactionStatements(transaction, write().statements), number = round + 2L)
            if (round < 4) harness.answer(done(at(10)))
        }

        expectThat((harness.answers.last() as CallerAnswer.Refused).kind.outcome.name).isEqualTo("NOT_RUN")
        expectThat(harness.effects).contains(Effect.Exit)
    }

    private fun enterFinishingPhase() {
        harness.handle(Event.DrainRequested)
        harness.advanceTime(millis = 1_000)
    }

    private fun phases() = harness.signalled<Signal.DrainPhaseChanged>().map { it.phase }
}
