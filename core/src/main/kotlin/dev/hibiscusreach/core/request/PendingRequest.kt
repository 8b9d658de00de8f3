package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName

/** A request from its arrival to its answer. */
data class PendingRequest(
    /** Number of this process for the request; negative for requests that peers forwarded. */
    val arrival: ArrivalNumber,
    val origin: RequestOrigin,
    val request: CallerRequest,
    /** Nodes that have forwarded the request to get it here. */
    val hops: Int,
    val work: Work,
    val deadline: MonotonicTime,
    val phase: RequestPhase = RequestPhase.Arrived,
    /** When the step timer of the phase is due; an earlier firing belongs to an earlier phase. */
    val stepDue: MonotonicTime? = null,
    /** Commands sent so far. */
    val attempts: Int = 0,
    /** Whether an earlier attempt may have taken effect and was not resolved. */
    val mayHaveRun: Boolean = false,
    /** Whether the caller is gone, so that nobody gets the answer. */
    val abandoned: Boolean = false,
    /** Servers that failed this request. */
    val avoidedServers: Set<ServerName> = emptySet(),
    /** Peers that failed this request. */
    val avoidedPeers: Set<NodeIdentity> = emptySet(),
    /** Whether the wait for a fresh replica has ended. */
    val replicaWaitOver: Boolean = false,
    /** The end of the wait for a usable primary, set when the wait begins. */
    val primaryWaitEnd: MonotonicTime? = null,
) {
    /** The database of the request. */
    val database: DatabaseName get() = request.database

    /** The position that the session has seen. */
    val seenPosition: Position get() = request.session.positionOf(database)

    /** Whether the request may have taken effect if nothing more is learned of it. */
    val outcomeOpen: Boolean get() = mayHaveRun || work.leavesOutcomeOpen && wasSent

    private val wasSent: Boolean
        get() =
            when (phase) {
                is RequestPhase.Sent, is RequestPhase.Verifying, is RequestPhase.Forwarded -> true

                is RequestPhase.Arrived, is RequestPhase.AwaitingReplica, is RequestPhase.AwaitingPrimary,
                is RequestPhase.Connecting,
                -> false
            }
}
