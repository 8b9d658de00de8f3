package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The view of the fleet's members. */
data class MembershipState(
    val self: NodeIdentity,
    val selfDomain: FailureDomainName,
    /** Other proxies by peer endpoint; only the latest run at an endpoint is kept. */
    val peers: PersistentMap<Endpoint, Peer> = persistentMapOf(),
    /** Whether this process announced that it drains. */
    val draining: Boolean = false,
    /** Raised to refute a suspicion of this process. */
    val refutation: Int = 0,
    /** What the platform's host list says of leaving hosts. */
    val leavingHosts: LeavingHosts = LeavingHosts(),
    /** The state of the gossip protocol. */
    val protocol: ProtocolState = ProtocolState(),
) {
    // Routing asks for every request, so the grouping is computed at most once for each state.
    private val workersByDomain: Map<FailureDomainName, List<NodeIdentity>> by lazy(::groupWorkers)

    /** Whether [node] is this process or a peer that is not known to be gone. */
    fun isLive(node: NodeIdentity): Boolean =
        node == self || peers[node.peerEndpoint]?.let { it.node == node && it.condition != PeerCondition.GONE } == true

    /** The peers that are not known to be gone, without this process. */
    fun livePeers(): List<Peer> = peers.values.filter { it.condition != PeerCondition.GONE }

    /** The nodes of [domain] that take new work, with this process if it belongs there and is not draining. */
    fun takingWork(domain: FailureDomainName): List<NodeIdentity> = workersByDomain[domain].orEmpty()

    /** The failure domain of a known node, this process included. */
    fun domainOf(node: NodeIdentity): FailureDomainName? =
        if (node == self) selfDomain else peers[node.peerEndpoint]?.failureDomain

    /** The gossip entry that describes this process. */
    fun selfUpdate(): PeerUpdate =
        PeerUpdate(
            node = self,
            failureDomain = selfDomain,
            condition = if (draining) PeerCondition.DRAINING else PeerCondition.ALIVE,
            refutation = refutation,
        )

    private fun groupWorkers(): Map<FailureDomainName, List<NodeIdentity>> {
        val own = if (draining) emptyList() else listOf(Peer(self, selfDomain))
        return (peers.values.filter { it.condition != PeerCondition.GONE && !it.draining } + own)
            .filterNot { it.node.peerEndpoint in leavingHosts.proxies }
            .groupBy({ it.failureDomain }, { it.node })
    }
}
