package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.state.PeerView

/**
 * Finds proxies that have gone silent and expels them, so that a later change of primary does not wait for their
 * leases. An expelled proxy cannot renew its lease; it registers again if it still runs.
 */
internal object ProxyExpulsion {
    /** Expels proxies that have gone silent, and forgets expelled ones whose lease is over. */
    fun review(turn: Reduction) {
        expelSilent(turn)
        forgetExpelled(turn)
    }

    /** Expels the proxies at [peers]. */
    fun expel(turn: Reduction, peers: Set<Endpoint>) {
        for ((key, proxy) in turn.state.fleet.members) {
            val revision = turn.state.fleet.records[key]?.revision
            if (proxy.peerEndpoint in peers && revision != null) {
                turn.log("proxy expelled", "node" to proxy.identity.node, "revision" to revision)
                turn.emit(SessionEffect.WriteFleet(key, proxy.copy(expelled = true), revision))
            }
        }
    }

    // A proxy that hears from fewer than half of the others may be the one that is cut off.
    private fun expelSilent(turn: Reduction) {
        val fleet = turn.state.fleet
        val others = fleet.members.filterValues { it.identity.node != turn.state.self.identity.node }
        val heard = others.values.count { isHeard(fleet.peers[it.peerEndpoint]) }
        val hearsMost = (heard + 1) * 2 > others.size + 1
        if (fleet.storeLost || !PrimaryStatus.leaseHolds(turn)) return
        others
            .values
            .map { it.peerEndpoint }
            .filter { isSilent(turn, it, hearsMost) }
            .let { expel(turn, it.toSet()) }
    }

    private fun isHeard(view: PeerView?) = view?.answeredAt != null && view.misses == 0

    private fun isSilent(turn: Reduction, peer: Endpoint, hearsMost: Boolean): Boolean {
        val view = turn.state.fleet.peers[peer]
        val since = view?.missingSince ?: return false
        val limits = turn.settings.leases
        val expulsion = if (hearsMost) limits.expulsionTimeout else limits.duration
        return view.misses >= limits.missedPings && turn.now - since >= expulsion
    }

    private fun forgetExpelled(turn: Reduction) {
        for ((key, since) in turn.state.fleet.expelledSince) {
            val stored = turn.state.fleet.records[key] ?: continue
            val over = turn.now - since > turn.settings.leases.duration
            if (over && isFirst(turn)) turn.emit(SessionEffect.DeleteFleet(key, stored.revision))
        }
    }

    private fun isFirst(turn: Reduction): Boolean =
        turn.state.fleet
            .members
            .values
            .minOfOrNull { it.identity.node } == turn.state.self.identity.node
}
