package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName

/** A request that was admitted and not answered yet. */
data class PendingRequest(
    /** Number that this process assigned to the request; negative for requests that peers forwarded. */
    val arrival: ArrivalNumber,
    val origin: RequestOrigin,
    val request: CallerRequest,
    /** Number of times that the request was forwarded before it reached this process. */
    val hops: Int,
    val operation: Operation,
    val deadline: MonotonicTime,
    val phase: RequestPhase = RequestPhase.Arrived,
    /** Time at which the step timer is due; a timer that fires earlier belongs to an earlier phase. */
    val stepDue: MonotonicTime? = null,
    /** Number of commands sent so far. */
    val attempts: Int = 0,
    /** Whether an earlier attempt may have taken effect and its outcome was not resolved. */
    val mayHaveRun: Boolean = false,
    /** Whether the caller has disconnected, so that no answer is sent. */
    val abandoned: Boolean = false,
    /** Servers that did not serve this request and are not chosen again for a read. */
    val avoidedServers: Set<ServerName> = emptySet(),
    /** Peers that did not answer or accept this request; it is not forwarded to them again. */
    val avoidedPeers: Set<NodeIdentity> = emptySet(),
    /** Whether the request no longer waits for a fresh replica. */
    val replicaWaitOver: Boolean = false,
    /** Time at which the wait for a usable primary ends; set when the wait begins. */
    val primaryWaitEnd: MonotonicTime? = null,
) {
    /** The database of the request. */
    val database: DatabaseName get() = request.database

    /** The position that the caller's session has seen. */
    val seenPosition: Position get() = request.session.positionOf(database)

    /** Whether the request may have taken effect, as far as this process knows. */
    val isOutcomeUnknown: Boolean get() = mayHaveRun || operation.leavesOutcomeUnknown && wasSent

    private val wasSent: Boolean
        get() =
            when (phase) {
                is RequestPhase.Sent, is RequestPhase.Verifying, is RequestPhase.Forwarded -> true

                is RequestPhase.Arrived, is RequestPhase.AwaitingReplica, is RequestPhase.AwaitingPrimary,
                is RequestPhase.Connecting,
                -> false
            }
}
