package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The step of a database's failover that this process is in. */
internal sealed interface FailoverState {
    /** The term that this process claimed or tries to claim; null before that. */
    val proposedTerm: Term? get() = null

    /** The platform call whose answer the step waits for. */
    val platformCall: PlatformCallNumber? get() = null

    /** Nothing to do as long as the primary answers. */
    data object Watching : FailoverState

    /** Waits for the other monitors to tell whether they see the primary. */
    data class CollectingSightings(
        val asked: Set<NodeIdentity>,
        val reports: PersistentMap<NodeIdentity, Boolean> = persistentMapOf(),
    ) : FailoverState

    /** Waits for the proposers of a lower rank. */
    data class AwaitingTurn(val reports: PersistentMap<NodeIdentity, Boolean>) : FailoverState

    /** Reads the group's object before the claim. */
    data class ReadingRecord(override val platformCall: PlatformCallNumber) : FailoverState

    /** Claims the term by a conditional update. */
    data class Claiming(
        override val platformCall: PlatformCallNumber,
        override val proposedTerm: Term,
        val expectedVersion: Long,
    ) : FailoverState

    /** Reads the object again because the answer to the claim was lost; without a call while it pauses. */
    data class VerifyingClaim(
        override val platformCall: PlatformCallNumber?,
        override val proposedTerm: Term,
        val expectedVersion: Long,
    ) : FailoverState

    /** Collects a majority of servers that refuse every lower term. */
    data class Fencing(
        override val proposedTerm: Term,
        val version: Long,
        val startedAt: MonotonicTime,
        val fenced: PersistentMap<ServerName, Position> = persistentMapOf(),
    ) : FailoverState

    /** Makes [server] the primary. No other server may be promoted in the same term. */
    data class Promoting(
        override val proposedTerm: Term,
        val version: Long,
        val startedAt: MonotonicTime,
        val server: ServerName,
    ) : FailoverState

    /** Records the new primary in the group's object; without a call while it pauses. */
    data class Recording(
        override val platformCall: PlatformCallNumber?,
        override val proposedTerm: Term,
        val version: Long,
        val server: ServerName,
    ) : FailoverState
}
