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

/** Time reserved for the round trip to a peer, which takes 16 ms over the link between regions. */
private const val TRANSIT_ALLOWANCE_MILLIS = 50L

/** The transit allowance is at most one part in this many of the remaining time, which matters for short deadlines. */
private const val TRANSIT_ALLOWANCE_DIVISOR = 10

/** Refusals that apply to every attempt under the identifier; a cancellation is reported only once it is durable. */
private val DEFINITIVE_KINDS = setOf(ErrorKind.REQUEST_CANCELLED, ErrorKind.REQUEST_IDENTIFIER_REUSED)

/** Refusals that depend on the state of the peer and not on the request, which this process has validated itself. */
private val PEER_STATE_KINDS =
    setOf(
        ErrorKind.DRAINING,
        ErrorKind.NO_CONFIGURATION,
        ErrorKind.UNKNOWN_DATABASE,
        ErrorKind.UNKNOWN_CALLER,
    )

private const val LOST_PEER_REASON = "peer"

/** Forwards [request] to [peer] with the remaining time less the transit allowance. */
internal fun StepBuilder.forward(request: PendingRequest, peer: NodeIdentity) {
    val remaining = request.deadline - now
    val allowed = Millis(remaining.value - minOf(TRANSIT_ALLOWANCE_MILLIS, remaining.value / TRANSIT_ALLOWANCE_DIVISOR))
    // Each forward has its own number, so that a late answer to an earlier forward is not matched to this one.
    val number = ArrivalNumber(-nextNumber())
    count(CounterName.FORWARDED_REQUESTS, fleet.domainOf(peer)?.value.orEmpty())
    val forwarded = requestToForward(request).copy(deadline = allowed)
    emit(Effect.SendPeerMessage(peer, PeerMessage.ForwardedRequest(number, request.hops + 1, forwarded)))
    enter(request, RequestPhase.Forwarded(number, peer), request.deadline)
}

private fun requestToForward(request: PendingRequest) =
    when (val operation = request.operation) {
        is Operation.Resolve -> request.request.copy(body = RequestBody.ResolveOutcome(operation.identifier))
        else -> request.request
    }

/** Relays a peer's answer, or routes the request again if the peer is draining or its configuration is outdated. */
internal fun StepBuilder.onForwardedAnswer(from: NodeIdentity, message: PeerMessage.ForwardedAnswer) {
    val request = slice.phaseIndex.byForward[message.arrival]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Forwarded && phase.peer == from) {
        relayAnswer(request, from, message.answer)
    } else {
        count(CounterName.DISCARDED_ANSWERS, "forwarded")
    }
}

private fun StepBuilder.relayAnswer(request: PendingRequest, from: NodeIdentity, answer: CallerAnswer) {
    val unrouted = store(request.copy(phase = RequestPhase.Arrived))
    val operation = request.operation
    when {
        answer !is CallerAnswer.Refused -> relayCompletion(unrouted, answer)

        answer.kind in PEER_STATE_KINDS -> {
            val avoidingPeer = unrouted.copy(avoidedPeers = unrouted.avoidedPeers + from)
            if (operation is Operation.InTransaction) {
                handleLostOwner(avoidingPeer, operation)
            } else {
                route(store(avoidingPeer))
            }
        }

        unrouted.mayHaveRun && answer.kind !in DEFINITIVE_KINDS -> refuse(unrouted, answer.kind, answer.message)

        else -> reply(unrouted, answer)
    }
}

private fun StepBuilder.relayCompletion(request: PendingRequest, answer: CallerAnswer) {
    val recorded = (request.operation as? Operation.Resolve)?.recorded
    if (recorded == null) reply(request, answer) else route(store(request.copy(operation = recorded)))
}

/** Handles the loss of [peer], which will not answer the requests that were forwarded to it. */
internal fun StepBuilder.onPeerLost(peer: NodeIdentity) {
    markUnreachable(peer)
    slice.phaseIndex.byPeer[peer].orEmpty().mapNotNull { slice.pending[it] }.forEach { handleLostForward(it, peer) }
}

/** Handles the loss of the answer to a request that was forwarded to [peer]. */
internal fun StepBuilder.handleLostForward(request: PendingRequest, peer: NodeIdentity) {
    val unrouted = store(request.copy(phase = RequestPhase.Arrived, avoidedPeers = request.avoidedPeers + peer))
    when (val operation = request.operation) {
        is Operation.Run, is Operation.Rollback ->
            refuseDefinitively(
                unrouted,
                ErrorKind.OUTCOME_UNKNOWN,
                "the proxy that holds the transaction cannot be reached",
            )

        // Not charged to the retry budget, because the lost peer may not have sent the request to a server.
        is Operation.Read, is Operation.Begin, is Operation.Resolve -> route(unrouted)

        is Operation.Write ->
            if (operation.key == null) {
                route(store(unrouted.copy(mayHaveRun = true)))
            } else {
                handleLostAnswer(unrouted, operation, LOST_PEER_REASON)
            }

        is Operation.Commit -> handleLostAnswer(unrouted, operation, LOST_PEER_REASON)
    }
}
