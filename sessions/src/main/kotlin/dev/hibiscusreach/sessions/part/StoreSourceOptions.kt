package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.reducer.RendezvousHash
import dev.hibiscusreach.sessions.model.FleetRecord

/** The sources from which this proxy may read the store's objects, in the order in which they are tried. */
internal object StoreSourceOptions {
    /** Number of neighbours, in the order in which they become readers, that are tried before the store itself. */
    private const val TRIED_NEIGHBOURS = 2

    /** The sources, the preferred one first; null is the store itself. */
    fun of(reduction: Reduction): List<Endpoint?> {
        val ranked = domainRanking(reduction)
        val own = ranked.indexOf(reduction.state.self.peerEndpoint)
        val abroad = readersOfOtherDomains(reduction)
        val nearby = ranked.take(minOf(own, TRIED_NEIGHBOURS))
        return when {
            own == 0 -> ofReader(reduction, abroad)
            isReadOld(reduction) -> nearby + listOf(null) + abroad.take(1)
            else -> nearby + abroad.take(1)
        }
    }

    /** Whether this proxy is the reader of its failure domain. */
    fun isReader(reduction: Reduction): Boolean =
        domainRanking(reduction).first() == reduction.state.self.peerEndpoint

    // The first reader of the region reads the store, and the readers of its other domains read through it.
    private fun ofReader(reduction: Reduction, abroad: List<Endpoint>): List<Endpoint?> {
        val self = reduction.state.self
        val regional = regionalReaders(reduction)[self.regions[self.failureDomain]] ?: self.peerEndpoint
        return when (regional) {
            self.peerEndpoint -> listOf(null) + abroad
            else -> listOf(regional, null) + (abroad - regional)
        }
    }

    private fun domainRanking(reduction: Reduction): List<Endpoint> =
        readers(neighbours(reduction).map { it.peerEndpoint } + reduction.state.self.peerEndpoint)

    /** The first reader of each region; by the same ranking it is the reader of its failure domain. */
    private fun regionalReaders(reduction: Reduction): Map<RegionName, Endpoint> {
        val self = reduction.state.self
        val candidates =
            reachablePeers(reduction).map { it.failureDomain to it.peerEndpoint } +
                (self.failureDomain to self.peerEndpoint)
        return candidates
            .mapNotNull { (domain, endpoint) -> self.regions[domain]?.let { it to endpoint } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, endpoints) -> readers(endpoints).first() }
    }

    // While the store is lost to all, only the readers call it until the leases of the others are at risk.
    private fun isReadOld(reduction: Reduction): Boolean =
        reduction.state.fleet.readSentAt
            ?.let { reduction.now - it > reduction.settings.leases.staleReadTimeout } ?: true

    private fun neighbours(reduction: Reduction): List<FleetRecord.Proxy> =
        reachablePeers(reduction).filter { it.failureDomain == reduction.state.self.failureDomain }

    // Those that read the store itself come first: the others may read through this proxy.
    private fun readersOfOtherDomains(reduction: Reduction): List<Endpoint> {
        val regional = regionalReaders(reduction).values
        return reachablePeers(reduction)
            .filter { it.failureDomain != null && it.failureDomain != reduction.state.self.failureDomain }
            .groupBy { it.failureDomain }
            .mapNotNull { (_, peers) -> readers(peers.map { it.peerEndpoint }).firstOrNull() }
            .let { RendezvousHash.rank(reduction.state.self.peerEndpoint.toString(), it) { reader -> reader } }
            .sortedBy { it !in regional }
    }

    private fun reachablePeers(reduction: Reduction): List<FleetRecord.Proxy> {
        val fleet = reduction.state.fleet
        return fleet.members.values.filter { proxy ->
            val isSelf = proxy.identity.node == reduction.state.self.identity.node
            !isSelf && !proxy.leaving && (fleet.peers[proxy.peerEndpoint]?.misses ?: 0) == 0
        }
    }

    private fun readers(candidates: List<Endpoint>): List<Endpoint> = RendezvousHash.rank("reader", candidates) { it }
}
