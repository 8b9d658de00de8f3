package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.RequestBody

/** Allowance for the transit to a peer and back, which takes 16 ms over the link between regions. */
private const val TRANSIT_MILLIS = 50L

/** The transit allowance is at most this fraction of the remaining time, so that short deadlines keep most of it. */
private const val TRANSIT_DIVISOR = 10

/** Refusals that hold for all attempts under the identifier; a cancellation is reported only once it is durable. */
private val SETTLING_KINDS = setOf(ErrorKind.REQUEST_CANCELLED, ErrorKind.REQUEST_IDENTIFIER_REUSED)

/** Refusals that say something about the peer and not about the request, which this process has checked itself. */
private val PEER_KINDS =
    setOf(
        ErrorKind.DRAINING,
        ErrorKind.NO_CONFIGURATION,
        ErrorKind.UNKNOWN_DATABASE,
        ErrorKind.UNKNOWN_CALLER,
    )

private const val PEER = "peer"

/** Forwards [request] to [peer]. */
internal fun StepBuilder.forward(request: PendingRequest, peer: NodeIdentity) {
    val remaining = request.deadline - now
    val allowed = Millis(remaining.value - minOf(TRANSIT_MILLIS, remaining.value / TRANSIT_DIVISOR))
    // Each forward has its own number, so that a late answer to an earlier one is not taken for the answer to this one.
    val number = ArrivalNumber(-nextNumber())
    count(CounterName.FORWARDED_REQUESTS, fleet.domainOf(peer)?.value.orEmpty())
    val forwarded = requestToForward(request).copy(deadline = allowed)
    emit(Effect.SendPeerMessage(peer, PeerMessage.ForwardedRequest(number, request.hops + 1, forwarded)))
    enter(request, RequestPhase.Forwarded(number, peer), request.deadline)
}

private fun requestToForward(request: PendingRequest) =
    when (val work = request.work) {
        is Work.Resolve -> request.request.copy(body = RequestBody.ResolveOutcome(work.identifier))
        else -> request.request
    }

/** Relays a peer's answer, or routes the request again if the peer drains or its configuration is behind. */
internal fun StepBuilder.answeredByPeer(from: NodeIdentity, message: PeerMessage.ForwardedAnswer) {
    val request = slice.index.forwards[message.arrival]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Forwarded && phase.peer == from) {
        relayAnswer(request, from, message.answer)
    } else {
        count(CounterName.DISCARDED_ANSWERS, "forwarded")
    }
}

private fun StepBuilder.relayAnswer(request: PendingRequest, from: NodeIdentity, answer: CallerAnswer) {
    val free = store(request.copy(phase = RequestPhase.Arrived))
    val work = request.work
    when {
        answer !is CallerAnswer.Refused -> completedByPeer(free, answer)

        answer.kind in PEER_KINDS -> {
            val elsewhere = free.copy(avoidedPeers = free.avoidedPeers + from)
            if (work is Work.InTransaction) ownerLost(elsewhere, work) else route(store(elsewhere))
        }

        free.mayHaveRun && answer.kind !in SETTLING_KINDS -> refuse(free, answer.kind, answer.message)

        else -> reply(free, answer)
    }
}

private fun StepBuilder.completedByPeer(request: PendingRequest, answer: CallerAnswer) {
    val recorded = (request.work as? Work.Resolve)?.recorded
    if (recorded == null) reply(request, answer) else route(store(request.copy(work = recorded)))
}

/** Handles the loss of [peer]: nothing that was forwarded to it will be answered. */
internal fun StepBuilder.peerLost(peer: NodeIdentity) {
    noteUnreachable(peer)
    slice.index.peers[peer].orEmpty().mapNotNull { slice.pending[it] }.forEach { forwardLost(it, peer) }
}

/** Handles the loss of the answer to a request that was forwarded to [peer]. */
internal fun StepBuilder.forwardLost(request: PendingRequest, peer: NodeIdentity) {
    val free = store(request.copy(phase = RequestPhase.Arrived, avoidedPeers = request.avoidedPeers + peer))
    when (val work = request.work) {
        is Work.Run, is Work.Rollback ->
            refuseAsSettled(free, ErrorKind.OUTCOME_UNKNOWN, "the proxy that holds the transaction cannot be reached")

        // Not counted as a retry of the database: the lost peer may not have sent the request to a server.
        is Work.Read, is Work.Begin, is Work.Resolve -> route(free)

        is Work.Write ->
            if (work.key == null) {
                route(store(free.copy(mayHaveRun = true)))
            } else {
                attemptLost(free, work, PEER)
            }

        is Work.Commit -> attemptLost(free, work, PEER)
    }
}
