package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.inSeconds

/** Part of the remaining time that the way to a peer and back may take: 16 ms over the link between regions. */
private const val TRANSIT_MILLIS = 50L

/** The transit allowance is at most this fraction of the remaining time, so that short deadlines keep most of it. */
private const val TRANSIT_DIVISOR = 10

/** Reads do no harm twice, so that one is sent elsewhere before a lost peer is detected, which takes up to 3 s. */
private val REPEATABLE_FORWARD_WAIT: Millis = 1.inSeconds

/** Lets [peer] carry [request] out. */
internal fun Turn.forward(request: PendingRequest, peer: NodeIdentity) {
    val remaining = request.deadline - now
    val allowed = Millis(remaining.value - minOf(TRANSIT_MILLIS, remaining.value / TRANSIT_DIVISOR))
    // Each forward has its own number, so that a late answer to an earlier one is not taken for the answer to this one.
    val number = ArrivalNumber(-nextNumber())
    count(CounterName.FORWARDED_REQUESTS, fleet.domainOf(peer)?.value.orEmpty())
    val forwarded = requestToForward(request).copy(deadline = allowed)
    emit(Effect.SendPeerMessage(peer, PeerMessage.ForwardedRequest(number, request.hops + 1, forwarded)))
    enter(request, RequestPhase.Forwarded(number, peer), forwardWaitEnd(request))
}

private fun Turn.forwardWaitEnd(request: PendingRequest): MonotonicTime =
    if (request.work.leavesOutcomeOpen) request.deadline else now + REPEATABLE_FORWARD_WAIT

private fun requestToForward(request: PendingRequest) =
    when (val work = request.work) {
        is Work.Resolve -> request.request.copy(body = RequestBody.ResolveOutcome(work.identifier))
        else -> request.request
    }

/** Passes a peer's answer on, or sends the request elsewhere if the peer did not take it. */
internal fun Turn.answeredByPeer(from: NodeIdentity, message: PeerMessage.ForwardedAnswer) {
    val request = slice.index.forwards[message.arrival]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Forwarded && phase.peer == from) {
        passOn(request, from, message.answer)
    } else {
        count(CounterName.DISCARDED_ANSWERS, "forwarded")
    }
}

private fun Turn.passOn(request: PendingRequest, from: NodeIdentity, answer: CallerAnswer) {
    val free = keep(request.copy(phase = RequestPhase.Arrived))
    val work = request.work
    when {
        answer !is CallerAnswer.Refused -> completedByPeer(free, answer)

        answer.kind == ErrorKind.DRAINING -> {
            val elsewhere = free.copy(avoidedPeers = free.avoidedPeers + from)
            if (work is Work.InTransaction) ownerLost(elsewhere, work) else route(keep(elsewhere))
        }

        // The receiver relies on a cancellation only once it is durable.
        answer.kind == ErrorKind.REQUEST_CANCELLED -> reply(free, answer)

        free.mayHaveRun -> refuse(free, answer.kind, answer.message)

        else -> reply(free, answer)
    }
}

private fun Turn.completedByPeer(request: PendingRequest, answer: CallerAnswer) {
    val recorded = (request.work as? Work.Resolve)?.recorded
    if (recorded == null) reply(request, answer) else route(keep(request.copy(work = recorded)))
}

/** Handles the loss of [peer]: nothing that was forwarded to it will be answered. */
internal fun Turn.losePeer(peer: NodeIdentity) {
    noteUnreachable(peer)
    slice.index.peers[peer].orEmpty().mapNotNull { slice.pending[it] }.forEach { forwardLost(it, peer) }
}

/** Handles the loss of the answer to a request that was forwarded to [peer]. */
internal fun Turn.forwardLost(request: PendingRequest, peer: NodeIdentity) {
    val free = keep(request.copy(phase = RequestPhase.Arrived, avoidedPeers = request.avoidedPeers + peer))
    when (val work = request.work) {
        is Work.Run, is Work.Rollback ->
            refuseAsSettled(free, ErrorKind.OUTCOME_UNKNOWN, "the proxy that holds the transaction cannot be reached")

        is Work.Resolve -> route(free)

        else -> attemptLost(free, work, "peer")
    }
}
