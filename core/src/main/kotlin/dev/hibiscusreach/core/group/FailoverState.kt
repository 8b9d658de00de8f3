package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The state of one database's failover in this process. */
internal sealed interface FailoverState {
    /** The term that this process has claimed or is claiming; null before the claim. */
    val proposedTerm: Term? get() = null

    /** The platform call whose answer this state waits for. */
    val platformCall: PlatformCallNumber? get() = null

    /** No failover is in progress. */
    data object Watching : FailoverState

    /** Waits for the reports of the other monitors on whether they reach the primary. */
    data class CollectingSightings(
        val asked: Set<NodeIdentity>,
        val reports: PersistentMap<NodeIdentity, Boolean> = persistentMapOf(),
    ) : FailoverState

    /** Waits before proposing, so that proposers of a lower rank go first. */
    data class DelayingProposal(val reports: PersistentMap<NodeIdentity, Boolean>) : FailoverState

    /** Reads the group's object before claiming a term. */
    data class ReadingRecord(override val platformCall: PlatformCallNumber) : FailoverState

    /** Claims the term by a conditional update of the group's object. */
    data class Claiming(
        override val platformCall: PlatformCallNumber,
        override val proposedTerm: Term,
        val expectedVersion: Long,
    ) : FailoverState

    /** Reads the object again because the answer to the claim was lost; without a call while it waits to retry. */
    data class VerifyingClaim(
        override val platformCall: PlatformCallNumber?,
        override val proposedTerm: Term,
        val expectedVersion: Long,
    ) : FailoverState

    /** Fences a majority of the servers: a fenced server refuses every lower term. */
    data class Fencing(
        override val proposedTerm: Term,
        val version: Long,
        val startedAt: MonotonicTime,
        /** The primary to replace; null if it works and only needs a new term. */
        val primaryToReplace: ServerName?,
        val fenced: PersistentMap<ServerName, Position> = persistentMapOf(),
    ) : FailoverState

    /** Promotes [server]. No other server may be promoted in the same term. */
    data class Promoting(
        override val proposedTerm: Term,
        val version: Long,
        val startedAt: MonotonicTime,
        val server: ServerName,
    ) : FailoverState

    /** Records the new primary in the group's object; without a call while it waits to retry. */
    data class Recording(
        override val platformCall: PlatformCallNumber?,
        override val proposedTerm: Term,
        val version: Long,
        val server: ServerName,
    ) : FailoverState
}
