package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import kotlin.random.Random

/** The updates of one message and the state after they were taken out of the queue. */
internal data class PiggybackedUpdates(val state: ProxyState, val updates: List<PeerUpdate>)

/** Chooses the updates that travel with a ping or an acknowledgement. */
internal object Piggyback {
    /** Updates in a message on an ordinary day; about 1 KiB. */
    const val USUAL_LIMIT: Int = 8

    /** Updates in a message while many wait, such as after the loss of a failure domain; about 4 KiB. */
    const val BACKLOG_LIMIT: Int = 32

    /** Updates in an answer to a node that needs the whole view; about half of the largest frame. */
    const val VIEW_LIMIT: Int = 4_000

    private const val REPETITION_FACTOR = 2

    /** Messages that carry an update: a multiple of the logarithm of [fleetSize], after which all have it. */
    fun repetitions(fleetSize: Int): Int = REPETITION_FACTOR * (Int.SIZE_BITS - fleetSize.countLeadingZeroBits() + 1)

    /** The next updates for a message to [receiver], the sender's own and what it thinks of the receiver first. */
    fun take(state: ProxyState, receiver: NodeIdentity, random: Random): PiggybackedUpdates {
        val membership = state.membership
        val pending = membership.protocol.pending
        val limit = if (pending.size > BACKLOG_LIMIT) BACKLOG_LIMIT else USUAL_LIMIT
        val chosen = pending.entries.sortedByDescending { it.value }.take(limit).map { it.key }
        val remaining =
            chosen.fold(pending) { map, endpoint ->
                val left = map.getValue(endpoint) - 1
                if (left > 0) map.put(endpoint, left) else map.remove(endpoint)
            }
        val queued = chosen.mapNotNull { membership.peers[it]?.toUpdate() }
        val updates = listOf(membership.selfUpdate()) + opinion(membership, receiver) + queued
        return PiggybackedUpdates(
            state.withMembership { copy(protocol = protocol.copy(pending = remaining)) },
            fill(membership, updates, random).distinct(),
        )
    }

    /** The whole view, for a node that has none. */
    fun view(state: ProxyState, receiver: NodeIdentity): PiggybackedUpdates {
        val membership = state.membership
        val live = membership.livePeers().take(VIEW_LIMIT).map { it.toUpdate() }
        return PiggybackedUpdates(state, listOf(membership.selfUpdate()) + opinion(membership, receiver) + live)
    }

    // A suspected receiver learns of it with the first message that reaches it, and can refute it at once.
    private fun opinion(membership: MembershipState, receiver: NodeIdentity): List<PeerUpdate> =
        listOfNotNull(membership.peers[receiver.peerEndpoint])
            .filter { it.node == receiver && it.condition != PeerCondition.ALIVE }
            .map { it.toUpdate() }

    // One known peer at random repairs views that missed an update when it was new.
    private fun fill(membership: MembershipState, updates: List<PeerUpdate>, random: Random): List<PeerUpdate> =
        if (updates.size < USUAL_LIMIT && membership.peers.isNotEmpty()) {
            updates + membership.peers.values.elementAt(random.nextInt(membership.peers.size)).toUpdate()
        } else {
            updates
        }
}

/** The peer at [endpoint] unless it is gone. */
internal fun MembershipState.livePeer(endpoint: Endpoint): Peer? =
    peers[endpoint]?.takeIf { it.condition != PeerCondition.GONE }
