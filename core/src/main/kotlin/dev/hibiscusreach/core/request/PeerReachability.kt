package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.seconds
import kotlinx.collections.immutable.toPersistentMap

/**
 * Time for which no new request is forwarded to a peer that was found unreachable. Membership takes 2 s or more to
 * report a peer as gone.
 */
private val UNREACHABLE_PEER_PAUSE: Millis = 1.seconds

/** Whether [request] may be forwarded to [peer] and the peer was not found unreachable recently. */
internal fun StepBuilder.canForward(request: PendingRequest, peer: NodeIdentity): Boolean =
    isForwardAllowed(request, peer) && slice.unreachablePeers[peer]?.let { isRecent(it) } != true

/** Whether [request] may be forwarded to [peer], whether or not the peer was found unreachable recently. */
internal fun StepBuilder.isForwardAllowed(request: PendingRequest, peer: NodeIdentity): Boolean =
    request.hops < settings.request.maximumHops && peer != settings.self && peer !in request.avoidedPeers

/** Records that [peer] was found unreachable now and forgets peers whose pause is over. */
internal fun StepBuilder.markUnreachable(peer: NodeIdentity) {
    val recent = slice.unreachablePeers.filterValues { isRecent(it) }
    slice = slice.copy(unreachablePeers = (recent + (peer to now)).toPersistentMap())
}

/** Records that [peer] is reachable again. */
internal fun StepBuilder.markReachable(peer: NodeIdentity) {
    if (peer in slice.unreachablePeers) slice = slice.copy(unreachablePeers = slice.unreachablePeers.remove(peer))
}

private fun StepBuilder.isRecent(lostAt: MonotonicTime): Boolean = now < lostAt + UNREACHABLE_PEER_PAUSE
