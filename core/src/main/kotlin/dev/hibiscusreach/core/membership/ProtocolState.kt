package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** A ping that waits for its acknowledgement. */
sealed interface Probe {
    /** The pinged node. */
    val target: NodeIdentity

    /** A ping of this process. */
    data class Own(
        override val target: NodeIdentity,
        val sentAt: MonotonicTime,
        /** Whether other peers were already asked to ping the target. */
        val indirect: Boolean = false,
        /** Whether the target was asked for its whole view. */
        val wantsView: Boolean = false,
    ) : Probe

    /** A ping on behalf of [requester], which knows it by [requesterSequence]. */
    data class Relayed(
        override val target: NodeIdentity,
        val requester: NodeIdentity,
        val requesterSequence: Long,
    ) : Probe
}

/** The state of the gossip protocol and of the reading of the platform's host list. */
data class ProtocolState(
    val nextSequence: Long = 1,
    val probes: PersistentMap<Long, Probe> = persistentMapOf(),
    /** Peers still to be pinged in this round, next one last. */
    val rotation: PersistentList<Endpoint> = persistentListOf(),
    /** Peers whose update is still to be piggybacked, with the number of messages left. */
    val pending: PersistentMap<Endpoint, Int> = persistentMapOf(),
    /** When the period timer is due; null before the start. */
    val periodDue: MonotonicTime? = null,
    val periods: Long = 0,
    /** Whether this process should ask a peer for its whole view. */
    val viewNeeded: Boolean = true,
    val hostListCall: PlatformCallNumber? = null,
    val hostListCalls: Long = 0,
) {
    /** Whether so many probes are open that no optional ones are started. */
    internal val isBusy: Boolean get() = probes.size >= MAXIMUM_PROBES

    private companion object {
        /** Bounds the work when many links fail at once, such as after the loss of a failure domain. */
        const val MAXIMUM_PROBES = 32
    }
}
