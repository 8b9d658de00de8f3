package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.inSeconds
import kotlinx.collections.immutable.toPersistentMap

/** Requests go elsewhere for this long after a peer was lost, so that they do not fail one after the other. */
private val UNREACHABLE_PEER_PAUSE: Millis = 1.inSeconds

/** Whether [peer] should be asked to carry [request] out. */
internal fun Turn.canForward(request: PendingRequest, peer: NodeIdentity): Boolean =
    mayForward(request, peer) && slice.unreachable[peer]?.let { isRecent(it) } != true

/** Whether [peer] may be asked to carry [request] out if nobody else can. */
internal fun Turn.mayForward(request: PendingRequest, peer: NodeIdentity): Boolean =
    request.hops < settings.request.maximumHops && peer != settings.self && peer !in request.avoidedPeers

/** Takes note that [peer] cannot be reached now. */
internal fun Turn.noteUnreachable(peer: NodeIdentity) {
    val recent = slice.unreachable.filterValues { isRecent(it) }
    slice = slice.copy(unreachable = (recent + (peer to now)).toPersistentMap())
}

/** Takes note that [peer] can be reached. */
internal fun Turn.noteReachable(peer: NodeIdentity) {
    if (peer in slice.unreachable) slice = slice.copy(unreachable = slice.unreachable.remove(peer))
}

private fun Turn.isRecent(lostAt: MonotonicTime): Boolean = now < lostAt + UNREACHABLE_PEER_PAUSE
