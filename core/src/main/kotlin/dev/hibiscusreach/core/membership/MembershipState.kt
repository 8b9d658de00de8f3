package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** This process's view of the members of the fleet. */
data class MembershipState(
    val self: NodeIdentity,
    val selfDomain: FailureDomainName,
    /** Other proxies by peer endpoint; only the latest process at an endpoint is kept. */
    val peers: PersistentMap<Endpoint, Peer> = persistentMapOf(),
    /** Whether this process has announced that it is draining. */
    val draining: Boolean = false,
    /** Increased to refute a suspicion of this process; the incarnation number of the SWIM protocol. */
    val refutation: Int = 0,
    /** The hosts that are leaving according to the platform's host list. */
    val leavingHosts: LeavingHosts = LeavingHosts(),
    /** The state of the gossip protocol. */
    val protocol: ProtocolState = ProtocolState(),
) {
    // Routing reads the grouping for every request, so it is computed at most once per state.
    private val workersByDomain: Map<FailureDomainName, List<NodeIdentity>> by lazy(::groupWorkers)

    /** Whether [node] is this process or a peer that is not known to be gone. */
    fun isLive(node: NodeIdentity): Boolean =
        node == self || peers[node.peerEndpoint]?.let { it.node == node && it.condition != PeerCondition.GONE } == true

    /** The peers that are not known to be gone, without this process. */
    fun livePeers(): List<Peer> = peers.values.filter { it.condition != PeerCondition.GONE }

    /** The nodes of [domain], possibly this process, that are neither gone nor draining nor on a leaving host. */
    fun nodesAcceptingWork(domain: FailureDomainName): List<NodeIdentity> = workersByDomain[domain].orEmpty()

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
