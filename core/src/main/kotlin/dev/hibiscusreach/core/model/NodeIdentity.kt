package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/**
 * Identity of one run of a proxy process. The start time and the nonce differ after a restart at the same peer
 * endpoint, so peers can distinguish the two runs.
 */
@Serializable
data class NodeIdentity(
    val peerEndpoint: Endpoint,
    val startedAtMillis: Long,
    val nonce: Int,
) : Comparable<NodeIdentity> {
    /** Whether this run started after [other] at the same endpoint. */
    fun replaces(other: NodeIdentity): Boolean =
        peerEndpoint == other.peerEndpoint && compareValuesBy(this, other, { it.startedAtMillis }, { it.nonce }) > 0

    override fun compareTo(other: NodeIdentity): Int =
        compareValuesBy(this, other, { it.peerEndpoint }, { it.startedAtMillis }, { it.nonce })

    override fun toString(): String = "$peerEndpoint/$startedAtMillis-$nonce"
}
