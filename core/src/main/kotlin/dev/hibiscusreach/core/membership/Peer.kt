package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity

/** One proxy as this process knows it. */
data class Peer(
    val node: NodeIdentity,
    val failureDomain: FailureDomainName,
    val condition: PeerCondition = PeerCondition.ALIVE,
    /** Increased by the peer to refute a suspicion. */
    val refutation: Int = 0,
    /** Whether the peer announced that it is draining. A separate field because a draining peer can be suspected. */
    val draining: Boolean = condition == PeerCondition.DRAINING,
    /** When this process learned of the condition. */
    val conditionSince: MonotonicTime = MonotonicTime(0),
) {
    /** The gossip entry that describes this peer. */
    fun toUpdate(): PeerUpdate = PeerUpdate(node, failureDomain, condition, refutation)

    /** Whether [update], which is about the same endpoint, takes precedence over this entry. */
    internal fun isSupersededBy(update: PeerUpdate): Boolean =
        if (update.node == node) {
            update.refutation > refutation || update.refutation == refutation && update.condition.rank > condition.rank
        } else {
            isReplacedBy(update)
        }

    // Any live process replaces one that is gone, because the clock of a restarted host can be behind. A gone process
    // never replaces another one, so that a late update about it cannot displace its successor.
    private fun isReplacedBy(update: PeerUpdate): Boolean =
        when (update.condition) {
            PeerCondition.GONE -> false
            PeerCondition.SUSPECTED -> update.node.replaces(node)
            PeerCondition.ALIVE, PeerCondition.DRAINING ->
                condition == PeerCondition.GONE || update.node.replaces(node)
        }

    internal companion object {
        fun of(update: PeerUpdate, known: Peer?, now: MonotonicTime): Peer =
            Peer(
                node = update.node,
                failureDomain = update.failureDomain,
                condition = update.condition,
                refutation = update.refutation,
                draining = update.condition == PeerCondition.DRAINING || isStillDraining(update, known),
                conditionSince = now,
            )

        // A suspicion does not end draining; only the peer itself can announce that it accepts work again.
        private fun isStillDraining(update: PeerUpdate, known: Peer?): Boolean =
            known != null && known.draining && known.node == update.node && update.condition != PeerCondition.ALIVE
    }
}

// With equal refutation numbers a suspicion overrides the peer's own announcements; a higher number refutes it.
private val PRECEDENCE =
    listOf(PeerCondition.ALIVE, PeerCondition.DRAINING, PeerCondition.SUSPECTED, PeerCondition.GONE)

private val PeerCondition.rank: Int get() = PRECEDENCE.indexOf(this)
