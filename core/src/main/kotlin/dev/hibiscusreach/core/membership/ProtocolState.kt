package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** An outstanding ping. */
sealed interface Probe {
    /** The pinged node. */
    val target: NodeIdentity

    /** A ping for this process's own failure detection. */
    data class Own(
        override val target: NodeIdentity,
        val sentAt: MonotonicTime,
        /** Whether other peers have been asked to ping the target. */
        val indirect: Boolean = false,
        /** Whether the target was asked for its full view. */
        val wantsView: Boolean = false,
    ) : Probe

    /** A ping on behalf of [requester], which requested it with the sequence number [requesterSequence]. */
    data class Relayed(
        override val target: NodeIdentity,
        val requester: NodeIdentity,
        val requesterSequence: Long,
    ) : Probe
}

/** The state of the gossip protocol and of reads of the platform's host list. */
data class ProtocolState(
    val nextSequence: Long = 1,
    /** Outstanding pings by sequence number. */
    val probes: PersistentMap<Long, Probe> = persistentMapOf(),
    /** Peers still to be pinged in this round; the next one is the last element. */
    val remainingTargets: PersistentList<Endpoint> = persistentListOf(),
    /** Peers whose updates are still to be piggybacked, with the number of remaining messages. */
    val pendingUpdates: PersistentMap<Endpoint, Int> = persistentMapOf(),
    /** When the period timer is due; null before the start. */
    val periodDueAt: MonotonicTime? = null,
    /** Periods since the start. */
    val periodCount: Long = 0,
    /** Number of times that urgent updates of others were forwarded in this period. */
    val urgentForwards: Int = 0,
    /** Whether this process should request the full view of a peer. */
    val fullViewNeeded: Boolean = true,
    /** The outstanding read of the host list, or null. */
    val hostListCall: PlatformCallNumber? = null,
    /** Reads of the host list since the start; the sequence number of the latest one. */
    val hostListCallCount: Long = 0,
) {
    /** Whether so many probes are outstanding that no optional ones are started. */
    internal val isBusy: Boolean get() = probes.size >= MAXIMUM_PROBES

    private companion object {
        /** Limits the load when many links fail at once, such as after the loss of a failure domain. */
        const val MAXIMUM_PROBES = 32
    }
}
