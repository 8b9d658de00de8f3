package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.Signal
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

    // Guards against a proxy that uses connections which belong to the share of the database's home.
    @Test
    fun `a request is forwarded to the nearest home and the home's answer is relayed`() {
        harness.sendRequest(write())
        answerFrom(home, completed)

        expectThat(harness.forwards).single().get { hops }.isEqualTo(1)
        expectThat(harness.commands).isEmpty()
        expectThat(harness.answers).containsExactly(completed)
    }

    // Guards against accepting an answer from a peer that did not get the request, or to a forward that was given up.
    @Test
    fun `a forwarded answer from another peer or for an earlier forward is discarded`() {
        harness.sendRequest(read())
        val first = harness.forwards.last().arrival
        answerFrom(farHome, completed)
        harness.handle(Event.PeerUnreachable(home))
        harness.handle(Event.PeerMessageReceived(home, PeerMessage.ForwardedAnswer(first, completed)))

        expectThat(harness.answers).isEmpty()
        expectThat(harness.counted(CounterName.DISCARDED_ANSWERS)).hasSize(2)
    }

    // Guards against a write that runs twice or is reported as not run because the peer it was forwarded to is lost.
    @Test
    fun `a write is resolved through another home when its peer is lost`() {
        harness.sendRequest(write())
        harness.handle(Event.PeerUnreachable(home))

        expectThat(harness.forwards.last().request.body).isA<RequestBody.ResolveOutcome>()
        answerFrom(farHome, CallerAnswer.Refused(ErrorKind.OVERLOADED, "busy"))
        expectThat(harness.refusals).containsExactly(ErrorKind.OUTCOME_UNKNOWN)
    }

    // Guards against reporting "not run" at the deadline for a write that the peer may have run.
    @Test
    fun `an expired forwarded request is reported as not run for a read and as unknown for a write`() {
        harness.sendRequest(read(), number = 1, deadline = 400)
        harness.sendRequest(write(), number = 2, deadline = 400)
        harness.advanceTime(millis = 400)

        expectThat(harness.refusals).containsExactly(ErrorKind.DEADLINE_EXCEEDED, ErrorKind.OUTCOME_UNKNOWN)
        expectThat(harness.forwards.map { it.request.deadline.value }).containsExactly(360, 360)
    }

    // Guards against refusing requests that this proxy could serve itself when all homes are lost.
    @Test
    fun `a read uses the proxy's own connections when no home can be reached`() {
        harness.sendRequest(read())
        harness.handle(Event.PeerUnreachable(home))
        harness.handle(Event.PeerUnreachable(farHome))

        expectThat(harness.forwards).hasSize(2)
        expectThat(harness.lastCommand).isA<SessionCommand.Execute>()
    }

    // Guards against forwarding a read to one home after another while it waits for a new primary at the first one.
    @Test
    fun `a read stays with its peer until the peer is gone`() {
        harness.sendRequest(read())
        harness.advanceTime(millis = 5_000)
        expectThat(harness.forwards).hasSize(1)

        harness.handle(Signal.PeerGone(home))
        expectThat(harness.forwards).hasSize(2)
    }

    // Guards against forwarding loops between proxies whose views of the homes differ.
    @Test
    fun `a request that was forwarded twice is served without another forward`() {
        receiveForwarded(write(), hops = 2)
        harness.answer(done(at(10)))

        expectThat(harness.forwards).isEmpty()
        expectThat(harness.sent<PeerMessage.ForwardedAnswer>()).single().get { arrival }.isEqualTo(ArrivalNumber(5))
    }

    // Guards against a home that uses its small reserve of connections although the server's own home is live.
    @Test
    fun `a home forwards to the home in the domain of the chosen server`() {
        harness.views.homes[Fixture.GALWAY] = harness.self
        harness.views.homes[Fixture.MAYO] = home
        receiveForwarded(read(), hops = 1)

        expectThat(harness.forwards).single().get { hops }.isEqualTo(2)
    }

    // Guards against refusing a caller because the home is shutting down.
    @Test
    fun `a request that a draining peer refuses is forwarded to another peer`() {
        harness.sendRequest(write())
        answerFrom(home, CallerAnswer.Refused(ErrorKind.DRAINING, "shutting down"))

        expectThat(harness.answers).isEmpty()
        expectThat(harness.forwards.map { it.request.body }).hasSize(2).get { last() }.isA<RequestBody.Statements>()
    }

    private fun answerFrom(peer: NodeIdentity, answer: CallerAnswer) {
        val message = PeerMessage.ForwardedAnswer(harness.forwards.last().arrival, answer)
        harness.handle(Event.PeerMessageReceived(peer, message))
    }

    private fun receiveForwarded(body: RequestBody, hops: Int) {
        val message = PeerMessage.ForwardedRequest(ArrivalNumber(5), hops, harness.request(body))
        harness.handle(Event.PeerMessageReceived(home, message))
    }
}
