package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.reducer.RendezvousHash
import dev.hibiscusreach.sessions.model.FleetRecord

/** The sources from which this proxy may read the store's objects, in the order in which they are tried. */
internal object StoreSourceOptions {
    /** Number of neighbours, in the order in which they become readers, that are tried before the store itself. */
    private const val TRIED_NEIGHBOURS = 2

    /** The sources, the preferred one first; null is the store itself. */
    fun of(reduction: Reduction): List<Endpoint?> {
        val self = reduction.state.self
        val ranked = readers(neighbours(reduction).map { it.peerEndpoint } + self.peerEndpoint)
        val own = ranked.indexOf(self.peerEndpoint)
        val abroad = readersOfOtherDomains(reduction)
        val nearby = ranked.take(minOf(own, TRIED_NEIGHBOURS))
        return when {
            own == 0 -> listOf(null) + abroad
            isReadOld(reduction) -> nearby + listOf(null) + abroad.take(1)
            else -> nearby + abroad.take(1)
        }
    }

    // While the store is lost to all, only the readers call it until the leases of the others are at risk.
    private fun isReadOld(reduction: Reduction): Boolean =
        reduction.state.fleet.readSentAt
            ?.let { reduction.now - it > reduction.settings.leases.staleReadTimeout } ?: true

    private fun neighbours(reduction: Reduction): List<FleetRecord.Proxy> =
        reachablePeers(reduction).filter { it.failureDomain == reduction.state.self.failureDomain }

    private fun readersOfOtherDomains(reduction: Reduction): List<Endpoint> =
        reachablePeers(reduction)
            .filter { it.failureDomain != null && it.failureDomain != reduction.state.self.failureDomain }
            .groupBy { it.failureDomain }
            .mapNotNull { (_, peers) -> readers(peers.map { it.peerEndpoint }).firstOrNull() }
            .let { RendezvousHash.rank(reduction.state.self.peerEndpoint.toString(), it) { reader -> reader } }

    private fun reachablePeers(reduction: Reduction): List<FleetRecord.Proxy> {
        val fleet = reduction.state.fleet
        return fleet.members.values.filter { proxy ->
            val isSelf = proxy.identity.node == reduction.state.self.identity.node
            !isSelf && !proxy.leaving && (fleet.peers[proxy.peerEndpoint]?.misses ?: 0) == 0
        }
    }

    private fun readers(candidates: List<Endpoint>): List<Endpoint> = RendezvousHash.rank("reader", candidates) { it }
}
