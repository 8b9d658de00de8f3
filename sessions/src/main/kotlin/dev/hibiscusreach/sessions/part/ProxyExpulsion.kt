package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.state.PeerView

/**
 * Expels proxies that do not answer pings, so that a later primary change does not wait for their leases. An expelled
 * proxy cannot renew its lease; if it is still running, it registers again.
 */
internal object ProxyExpulsion {
    /** Expels unresponsive proxies and deletes the records of expelled proxies whose leases have expired. */
    fun review(reduction: Reduction) {
        expelUnresponsive(reduction)
        deleteExpired(reduction)
    }

    /** Marks the records of the proxies at [peers] as expelled. */
    fun expel(reduction: Reduction, peers: Set<Endpoint>) {
        for ((key, proxy) in reduction.state.fleet.members) {
            val revision = reduction.state.fleet.records[key]?.revision
            if (proxy.peerEndpoint in peers && revision != null) {
                reduction.log("proxy expelled", "node" to proxy.identity.node, "revision" to revision)
                reduction.emit(SessionEffect.WriteFleet(key, proxy.copy(expelled = true), revision))
            }
        }
    }

    // A proxy that cannot reach a majority of the peers that it pings may itself be isolated, so it waits for a full
    // lease duration before it expels others.
    private fun expelUnresponsive(reduction: Reduction) {
        val fleet = reduction.state.fleet
        val pinged = PeerMonitoring.pinged(reduction)
        val responsive = pinged.count { isResponsive(fleet.peers[it]) }
        val reachesMajority = (responsive + 1) * 2 > pinged.size + 1
        if (fleet.storeLost || !PrimaryStatus.leaseIsValid(reduction)) return
        pinged
            .filterIndexed { rank, peer -> isUnresponsive(reduction, peer, rank, reachesMajority) }
            .let { expel(reduction, it.toSet()) }
    }

    private fun isResponsive(view: PeerView?) = view?.answeredAt != null && view.misses == 0

    private fun isUnresponsive(reduction: Reduction, peer: Endpoint, rank: Int, reachesMajority: Boolean): Boolean {
        val view = reduction.state.fleet.peers[peer]
        val since = view?.missingSince ?: return false
        val limits = reduction.settings.leases
        val timeout = if (reachesMajority) limits.expulsionTimeout else limits.duration
        return view.misses >= limits.missedPings && reduction.now - since >= timeout + limits.expulsionRankDelay * rank
    }

    private fun deleteExpired(reduction: Reduction) {
        for ((key, since) in reduction.state.fleet.expelledSince) {
            val stored = reduction.state.fleet.records[key] ?: continue
            val expired = reduction.now - since > reduction.settings.leases.duration
            if (expired && isFirstMember(reduction)) reduction.emit(SessionEffect.DeleteFleet(key, stored.revision))
        }
    }

    /** Whether this proxy's name is the first among the members, so that one proxy acts for all. */
    fun isFirstMember(reduction: Reduction): Boolean =
        reduction.state.fleet
            .members
            .values
            .minOfOrNull { it.identity.node } == reduction.state.self.identity.node
}
