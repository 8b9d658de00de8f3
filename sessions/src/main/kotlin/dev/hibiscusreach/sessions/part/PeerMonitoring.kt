package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.PeerView

/** Pings the other proxies and records which of them answer. */
internal object PeerMonitoring {
    /** Pings the next peer in round-robin order and all peers that missed a ping, once per ping period. */
    fun review(reduction: Reduction) {
        val fleet = reduction.state.fleet
        val due = fleet.pingedAt?.let { reduction.now - it >= reduction.settings.leases.pingPeriod } ?: true
        if (!due || !fleet.registered || reduction.state.stoppingSince != null) return
        val peers = pinged(reduction)
        reduction.state =
            reduction.state.copy(fleet = fleet.copy(pingedAt = reduction.now, nextPing = fleet.nextPing + 1))
        peers.getOrNull(fleet.nextPing % maxOf(1, peers.size))?.let { ping(reduction, it) }
        // Peers that missed a ping are pinged in every period, so that a failure is confirmed or cleared quickly.
        peers.filter { (fleet.peers[it]?.misses ?: 0) > 0 }.forEach { ping(reduction, it) }
        ProxyExpulsion.review(reduction)
        StoreEras.review(reduction)
    }

    /** Records the outcome of a ping. */
    fun pingAnswered(reduction: Reduction, event: SessionEvent.PeerAnswered) {
        val fleet = reduction.state.fleet
        val previous = fleet.peers[event.peer] ?: PeerView(answeredAt = null)
        val current =
            if (event.outcome is PeerOutcome.Answered) {
                PeerView(answeredAt = reduction.now)
            } else {
                previous.copy(misses = previous.misses + 1, missingSince = previous.missingSince ?: reduction.now)
            }
        reduction.state = reduction.state.copy(fleet = fleet.copy(peers = fleet.peers + (event.peer to current)))
    }

    /** The peer endpoints of all other proxies that are not expelled. */
    fun peers(reduction: Reduction): Set<Endpoint> =
        reduction.state.fleet
            .members
            .values
            .filter { it.identity.node != reduction.state.self.identity.node }
            .map { it.peerEndpoint }
            .toSet()

    /**
     * The peers that this proxy pings, nearest first: its successors when all proxies are ordered in a ring. Each proxy
     * is pinged by as many others.
     */
    fun pinged(reduction: Reduction): List<Endpoint> {
        val self = reduction.state.self.peerEndpoint
        val (before, after) = peers(reduction).sorted().partition { it < self }
        return (after + before).take(reduction.settings.leases.pingedPeers)
    }

    /** The time until the leases of all expelled homes of [group] have expired; zero if none is left. */
    fun expulsionWait(reduction: Reduction, group: GroupName): Millis {
        val fleet = reduction.state.fleet
        val expiries =
            fleet.expelledSince
                .filterKeys { (fleet.records[it]?.record as? FleetRecord.Proxy)?.isHomeOf(group) ?: true }
                .values
                .map { it + reduction.settings.leases.duration }
        return expiries.maxOrNull()?.let { maxOf(Millis(0), it - reduction.now) } ?: Millis(0)
    }

    private fun ping(reduction: Reduction, peer: Endpoint) =
        reduction.emit(SessionEffect.AskPeer(peer, PeerRequest.Ping))
}
