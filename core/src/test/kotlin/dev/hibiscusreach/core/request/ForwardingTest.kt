package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.SessionToken
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

class ForwardingTest {
    private val harness = RequestHarness()
    private val home = Fixture.node(port = 2)
    private val farHome = Fixture.node(port = 3)
    private val completed = CallerAnswer.Completed(Fixture.RESULTS, SessionToken())

    @BeforeEach
    fun placeHomes() {
        harness.views.homes[Fixture.GALWAY] = home
        harness.views.homes[Fixture.DUBLIN] = farHome
    }

    // Guards against a proxy that opens connections which belong to the home of the database.
    @Test
    fun `a request is forwarded to the nearest home and the home's answer is passed on`() {
        harness.arrive(write())
        answerFrom(home, completed)

        expectThat(harness.forwards).single().get { hops }.isEqualTo(1)
        expectThat(harness.commands).isEmpty()
        expectThat(harness.answers).containsExactly(completed)
    }

    // Guards against an answer of a peer that was not asked, or of a forward that was given up.
    @Test
    fun `a forwarded answer from another peer or for an earlier forward is discarded`() {
        harness.arrive(read())
        val first = harness.forwards.last().arrival
        answerFrom(farHome, completed)
        harness.handle(Event.PeerUnreachable(home))
        harness.handle(Event.PeerMessageReceived(home, PeerMessage.ForwardedAnswer(first, completed)))

        expectThat(harness.answers).isEmpty()
        expectThat(harness.counted(CounterName.DISCARDED_ANSWERS)).hasSize(2)
    }

    // Guards against a write that runs twice, or is called not run, because the peer that carried it is lost.
    @Test
    fun `a write is resolved through another home when its peer is lost`() {
        harness.arrive(write())
        harness.handle(Event.PeerUnreachable(home))

        expectThat(harness.forwards.last().request.body).isA<RequestBody.ResolveOutcome>()
        answerFrom(farHome, CallerAnswer.Refused(ErrorKind.OVERLOADED, "busy"))
        expectThat(harness.refusals).containsExactly(ErrorKind.OUTCOME_UNKNOWN)
    }

    // Guards against a proxy that fails requests although it could serve them, because all homes are lost.
    @Test
    fun `a read uses the proxy's own connections when no home can be reached`() {
        harness.arrive(read())
        harness.handle(Event.PeerUnreachable(home))
        harness.handle(Event.PeerUnreachable(farHome))

        expectThat(harness.forwards).hasSize(2)
        expectThat(harness.lastCommand).isA<SessionCommand.Execute>()
    }

    // Guards against a read that waits for its whole deadline for a peer that hangs.
    @Test
    fun `a read is sent elsewhere when its peer does not answer`() {
        harness.arrive(read())
        harness.pass(millis = 1_000)

        expectThat(harness.forwards).hasSize(2)
    }

    // Guards against requests that circle between proxies whose views differ.
    @Test
    fun `a request that was forwarded twice is served here`() {
        receive(write(), hops = 2)
        harness.answer(done(at(10)))

        expectThat(harness.forwards).isEmpty()
        expectThat(harness.sent<PeerMessage.ForwardedAnswer>()).single().get { arrival }.isEqualTo(ArrivalNumber(5))
    }

    // Guards against a home that serves from its small reserve although the server's own home is up.
    @Test
    fun `a home forwards to the home in the domain of the chosen server`() {
        harness.views.homes[Fixture.GALWAY] = harness.self
        harness.views.homes[Fixture.MAYO] = home
        receive(read(), hops = 1)

        expectThat(harness.forwards).single().get { hops }.isEqualTo(2)
    }

    // Guards against a caller that is refused because the home was just shutting down.
    @Test
    fun `a request that a draining peer refuses is sent elsewhere`() {
        harness.arrive(write())
        answerFrom(home, CallerAnswer.Refused(ErrorKind.DRAINING, "shutting down"))

        expectThat(harness.answers).isEmpty()
        expectThat(harness.forwards.map { it.request.body }).hasSize(2).get { last() }.isA<RequestBody.Statements>()
    }

    private fun answerFrom(peer: NodeIdentity, answer: CallerAnswer) {
        val message = PeerMessage.ForwardedAnswer(harness.forwards.last().arrival, answer)
        harness.handle(Event.PeerMessageReceived(peer, message))
    }

    private fun receive(body: RequestBody, hops: Int) {
        val message = PeerMessage.ForwardedRequest(ArrivalNumber(5), hops, harness.request(body))
        harness.handle(Event.PeerMessageReceived(home, message))
    }
}
