package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.PeerView

/**
 * Finds proxies that have gone silent and expels them, so that a later change of primary does not wait for their
 * leases. An expelled proxy cannot renew its lease; it registers again if it still runs.
 */
internal object Members {
    /** Pings the next peer, expels silent ones and forgets those whose lease is over. */
    fun review(turn: Turn) {
        val fleet = turn.state.fleet
        val due = fleet.pingedAt?.let { turn.now - it >= turn.settings.leases.ping } ?: true
        if (!due || !fleet.registered || turn.state.stoppingSince != null) return
        val peers = peers(turn).sorted()
        turn.state = turn.state.copy(fleet = fleet.copy(pingedAt = turn.now, nextPing = fleet.nextPing + 1))
        peers.getOrNull(fleet.nextPing % maxOf(1, peers.size))?.let { ping(turn, it) }
        // A peer that missed a ping is asked more often, so that its silence is confirmed or ends soon.
        peers.filter { (fleet.peers[it]?.misses ?: 0) > 0 }.forEach { ping(turn, it) }
        expelSilent(turn)
        forgetExpelled(turn)
    }

    /** Notes what a peer answered. */
    fun answered(turn: Turn, event: SessionEvent.PeerAnswered) {
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
    fun peers(turn: Turn): Set<Endpoint> =
        turn.state.fleet
            .members()
            .values
            .filter { it.identity.node != turn.state.place.identity.node }
            .map { it.peerEndpoint }
            .toSet()

    /** The time until the leases of all expelled proxies are over. */
    fun expelledLeases(turn: Turn): Millis {
        val ends = turn.state.fleet.expelledSince.values.map { it + turn.settings.leases.duration }
        return ends.maxOrNull()?.let { maxOf(Millis(0), it - turn.now) } ?: Millis(0)
    }

    private fun ping(turn: Turn, peer: Endpoint) = turn.emit(SessionEffect.AskPeer(peer, PeerRequest.Ping))

    // A proxy that hears from fewer than half of the others may be the one that is cut off.
    private fun expelSilent(turn: Turn) {
        val fleet = turn.state.fleet
        val others = fleet.members().filterValues { it.identity.node != turn.state.place.identity.node }
        val heard = others.values.count { isHeard(fleet.peers[it.peerEndpoint]) }
        val hearsMost = (heard + 1) * 2 > others.size + 1
        if (fleet.lost || !Primaries.leaseHolds(turn)) return
        others
            .filterValues { isSilent(turn, it.peerEndpoint, hearsMost) }
            .forEach { (key, proxy) -> expel(turn, key, proxy) }
    }

    private fun isHeard(view: PeerView?) = view?.answeredAt != null && view.misses == 0

    private fun isSilent(turn: Turn, peer: Endpoint, hearsMost: Boolean): Boolean {
        val view = turn.state.fleet.peers[peer]
        val since = view?.missingSince ?: return false
        val limits = turn.settings.leases
        val expulsion = if (hearsMost) limits.expulsion else limits.duration
        return view.misses >= limits.missedPings && turn.now - since >= expulsion
    }

    private fun expel(turn: Turn, key: FleetKey, proxy: FleetRecord.Proxy) {
        val revision = turn.state.fleet.records[key]?.revision ?: return
        turn.log("proxy expelled", "node" to proxy.identity.node, "revision" to revision)
        turn.emit(SessionEffect.WriteFleet(key, proxy.copy(expelled = true), revision))
    }

    private fun forgetExpelled(turn: Turn) {
        for ((key, since) in turn.state.fleet.expelledSince) {
            val stored = turn.state.fleet.records[key] ?: continue
            val over = turn.now - since > turn.settings.leases.duration
            if (over && isFirst(turn)) turn.emit(SessionEffect.DeleteFleet(key, stored.revision))
        }
    }

    private fun isFirst(turn: Turn): Boolean =
        turn.state.fleet
            .members()
            .values
            .minOf { it.identity.node } == turn.state.place.identity.node
}
