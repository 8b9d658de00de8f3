package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import kotlin.random.Random

/** The updates of one message, and the state in which their remaining repetitions are reduced. */
internal data class PiggybackedUpdates(val state: ProxyState, val updates: List<PeerUpdate>)

/** Chooses the updates that a ping or an acknowledgement carries. */
internal object Piggyback {
    /** Pending updates per message in normal operation; with the sender's own update about 1.5 KB. */
    const val DEFAULT_LIMIT: Int = 8

    /** Pending updates per message while many wait, such as after the loss of a failure domain; about 5 KB. */
    const val BACKLOG_LIMIT: Int = 32

    /** Updates in an acknowledgement with the full view; 4,000 take about 610 KB of a frame's 1 MiB. */
    const val VIEW_LIMIT: Int = 4_000

    private const val REPETITION_FACTOR = 2

    /** Messages in which an update is repeated: a multiple of the logarithm of [fleetSize], after which all have it. */
    fun repetitions(fleetSize: Int): Int = REPETITION_FACTOR * (Int.SIZE_BITS - fleetSize.countLeadingZeroBits() + 1)

    /** The next updates for a message to [receiver], starting with those about the sender and the receiver. */
    fun take(state: ProxyState, receiver: NodeIdentity, random: Random): PiggybackedUpdates {
        val membership = state.membership
        val pendingUpdates = membership.protocol.pendingUpdates
        val limit = if (pendingUpdates.size > BACKLOG_LIMIT) BACKLOG_LIMIT else DEFAULT_LIMIT
        val chosen = pendingUpdates.entries.sortedByDescending { it.value }.take(limit).map { it.key }
        val remaining =
            chosen.fold(pendingUpdates) { map, endpoint ->
                val left = map.getValue(endpoint) - 1
                if (left > 0) map.put(endpoint, left) else map.remove(endpoint)
            }
        val queued = chosen.mapNotNull { membership.peers[it]?.toUpdate() }
        val updates = listOf(membership.selfUpdate()) + receiverUpdate(membership, receiver) + queued
        return PiggybackedUpdates(
            state.withMembership { copy(protocol = protocol.copy(pendingUpdates = remaining)) },
            withRandomPeer(membership, updates, random).distinct(),
        )
    }

    /** The full view, for a node that requested it. */
    fun view(state: ProxyState, receiver: NodeIdentity): PiggybackedUpdates {
        val membership = state.membership
        val live = membership.livePeers().take(VIEW_LIMIT).map { it.toUpdate() }
        return PiggybackedUpdates(state, listOf(membership.selfUpdate()) + receiverUpdate(membership, receiver) + live)
    }

    // A suspected receiver gets the suspicion with the first message that reaches it, and can refute it at once.
    private fun receiverUpdate(membership: MembershipState, receiver: NodeIdentity): List<PeerUpdate> =
        listOfNotNull(membership.peers[receiver.peerEndpoint])
            .filter { it.node == receiver && it.condition != PeerCondition.ALIVE }
            .map { it.toUpdate() }

    // An update about a random known peer repairs views that missed it when it was new.
    private fun withRandomPeer(
        membership: MembershipState,
        updates: List<PeerUpdate>,
        random: Random,
    ): List<PeerUpdate> =
        if (updates.size < DEFAULT_LIMIT && membership.peers.isNotEmpty()) {
            updates + membership.peers.values.elementAt(random.nextInt(membership.peers.size)).toUpdate()
        } else {
            updates
        }
}

/** The peer at [endpoint], or null if it is unknown or gone. */
internal fun MembershipState.livePeer(endpoint: Endpoint): Peer? =
    peers[endpoint]?.takeIf { it.condition != PeerCondition.GONE }
