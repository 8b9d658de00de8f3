package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity

/** What this process knows of one proxy. */
data class Peer(
    val node: NodeIdentity,
    val failureDomain: FailureDomainName,
    val condition: PeerCondition = PeerCondition.ALIVE,
    val refutation: Int = 0,
    /** Whether the peer announced that it drains. Kept apart because a draining peer can be suspected as well. */
    val draining: Boolean = condition == PeerCondition.DRAINING,
    /** When this process learned of the condition. */
    val conditionSince: MonotonicTime = MonotonicTime(0),
) {
    /** The gossip entry that describes this peer. */
    fun toUpdate(): PeerUpdate = PeerUpdate(node, failureDomain, condition, refutation)

    /** Whether [update], which is about the same run, is newer than what is known. */
    internal fun isSupersededBy(update: PeerUpdate): Boolean =
        update.refutation > refutation || update.refutation == refutation && update.condition.rank > condition.rank

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

        // A suspicion says nothing about draining; only the peer itself announces that it takes work again.
        private fun isStillDraining(update: PeerUpdate, known: Peer?): Boolean =
            known != null && known.draining && known.node == update.node && update.condition != PeerCondition.ALIVE
    }
}

// At the same refutation a peer's own announcements lose against a suspicion, which the peer refutes with a higher one.
private val PRECEDENCE =
    listOf(PeerCondition.ALIVE, PeerCondition.DRAINING, PeerCondition.SUSPECTED, PeerCondition.GONE)

private val PeerCondition.rank: Int get() = PRECEDENCE.indexOf(this)
