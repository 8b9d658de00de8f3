package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** What this process knows of one proxy. */
data class Peer(
    val node: NodeIdentity,
    val failureDomain: FailureDomainName,
    val condition: PeerCondition = PeerCondition.ALIVE,
    val refutation: Int = 0,
)

/** The view of the fleet's members. */
data class MembershipState(
    val self: NodeIdentity,
    val selfDomain: FailureDomainName,
    /** Other proxies by peer endpoint; only the latest run at an endpoint is kept. */
    val peers: PersistentMap<Endpoint, Peer> = persistentMapOf(),
) {
    /** Whether [node] is this process or a peer that is not known to be gone. */
    fun isLive(node: NodeIdentity): Boolean =
        node == self || peers[node.peerEndpoint]?.let { it.node == node && it.condition != PeerCondition.GONE } == true

    /** The peers that are not known to be gone, without this process. */
    fun livePeers(): List<Peer> = peers.values.filter { it.condition != PeerCondition.GONE }

    /** The nodes of [domain] that take new work, with this process if it belongs there and is not draining. */
    fun takingWork(domain: FailureDomainName): List<NodeIdentity> =
        peers.values
            .filter { it.failureDomain == domain && it.condition.takesWork }
            .map { it.node } + listOf(self).filter { selfDomain == domain }

    /** The failure domain of a known node, this process included. */
    fun domainOf(node: NodeIdentity): FailureDomainName? =
        if (node == self) selfDomain else peers[node.peerEndpoint]?.failureDomain
}

private val PeerCondition.takesWork: Boolean get() = this != PeerCondition.GONE && this != PeerCondition.DRAINING
