package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.seconds
import kotlinx.collections.immutable.toPersistentMap

/** Requests are not forwarded to a lost peer for this long. Membership takes 2 s or more to report it gone. */
private val UNREACHABLE_PEER_PAUSE: Millis = 1.seconds

/** Whether [request] can be forwarded to [peer] with a good chance of an answer. */
internal fun StepBuilder.canForward(request: PendingRequest, peer: NodeIdentity): Boolean =
    mayForward(request, peer) && slice.unreachable[peer]?.let { isRecent(it) } != true

/** Whether [request] can be forwarded to [peer], even if the peer was lost recently. */
internal fun StepBuilder.mayForward(request: PendingRequest, peer: NodeIdentity): Boolean =
    request.hops < settings.request.maximumHops && peer != settings.self && peer !in request.avoidedPeers

/** Records that [peer] cannot be reached. */
internal fun StepBuilder.noteUnreachable(peer: NodeIdentity) {
    val recent = slice.unreachable.filterValues { isRecent(it) }
    slice = slice.copy(unreachable = (recent + (peer to now)).toPersistentMap())
}

/** Records that [peer] can be reached. */
internal fun StepBuilder.noteReachable(peer: NodeIdentity) {
    if (peer in slice.unreachable) slice = slice.copy(unreachable = slice.unreachable.remove(peer))
}

private fun StepBuilder.isRecent(lostAt: MonotonicTime): Boolean = now < lostAt + UNREACHABLE_PEER_PAUSE
