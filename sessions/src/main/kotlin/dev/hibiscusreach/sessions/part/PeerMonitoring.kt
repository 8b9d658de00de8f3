package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.PeerView

/** Knows the other proxies and pings them. */
internal object PeerMonitoring {
    /** Pings the next peer, and those that missed a ping. */
    fun review(turn: Reduction) {
        val fleet = turn.state.fleet
        val due = fleet.pingedAt?.let { turn.now - it >= turn.settings.leases.pingPeriod } ?: true
        if (!due || !fleet.registered || turn.state.stoppingSince != null) return
        val peers = peers(turn).sorted()
        turn.state = turn.state.copy(fleet = fleet.copy(pingedAt = turn.now, nextPing = fleet.nextPing + 1))
        peers.getOrNull(fleet.nextPing % maxOf(1, peers.size))?.let { ping(turn, it) }
        // A peer that missed a ping is asked more often, so that its silence is confirmed or ends soon.
        peers.filter { (fleet.peers[it]?.misses ?: 0) > 0 }.forEach { ping(turn, it) }
        ProxyExpulsion.review(turn)
    }

    /** Notes what a peer answered. */
    fun answered(turn: Reduction, event: SessionEvent.PeerAnswered) {
        val fleet = turn.state.fleet
        val before = fleet.peers[event.peer] ?: PeerView(answeredAt = null)
        val after =
            if (event.outcome is PeerOutcome.Answered) {
                PeerView(answeredAt = turn.now)
            } else {
                before.copy(misses = before.misses + 1, missingSince = before.missingSince ?: turn.now)
            }
        turn.state = turn.state.copy(fleet = fleet.copy(peers = fleet.peers + (event.peer to after)))
    }

    /** The peer endpoints of all other proxies that are not expelled. */
    fun peers(turn: Reduction): Set<Endpoint> =
        turn.state.fleet
            .members
            .values
            .filter { it.identity.node != turn.state.self.identity.node }
            .map { it.peerEndpoint }
            .toSet()

    /** The time until the leases of all expelled proxies are over. */
    fun expelledLeases(turn: Reduction): Millis {
        val ends = turn.state.fleet.expelledSince.values.map { it + turn.settings.leases.duration }
        return ends.maxOrNull()?.let { maxOf(Millis(0), it - turn.now) } ?: Millis(0)
    }

    private fun ping(turn: Reduction, peer: Endpoint) = turn.emit(SessionEffect.AskPeer(peer, PeerRequest.Ping))
}
