package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.ServerStatus
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** What this proxy knows about a group. */
data class GroupView(
    val name: GroupName,
    val record: FleetRecord.Group? = null,
    val revision: Revision = Revision(0),
    val adoptedAt: MonotonicTime? = null,
    /** When the record's primary and term became known. */
    val primarySince: MonotonicTime? = null,
    /** Whether the record was the latest one when it became known; not so if a restored store has an old one. */
    val verified: Boolean = false,
    /** When the record was last written back to a restored store. */
    val writtenBackAt: MonotonicTime? = null,
    /** Latest known log positions of the primary, newest last. */
    val heads: PersistentList<HeadSample> = persistentListOf(),
    val fence: Fence? = null,
    val suspicion: Suspicion? = null,
    val change: PrimaryChange? = null,
    /** No change is started before this time. */
    val changeAfter: MonotonicTime? = null,
    /** When the server that reports the primary role was last asked for its status; used until a record exists. */
    val statusAskedAt: MonotonicTime? = null,
    /** When the proxy that is replacing the primary was last pinged. */
    val changerAskedAt: MonotonicTime? = null,
    /** When that proxy last answered that it runs and reaches the store. */
    val changerSeenAt: MonotonicTime? = null,
    /** Replicas that were removed or restarted; kept until a later log position of the primary is known. */
    val departed: Map<ServerName, Departure> = emptyMap(),
    /** Earlier [departed] that the record still names, all of whose commits are at or before [departedFloor]. */
    val covered: Set<ServerName> = emptySet(),
    /** When the commit requirements are written to the record; null if it has them. */
    val requirementsDue: MonotonicTime? = null,
    /** Servers that were removed since the latest change of primary and have not returned. */
    val absent: Set<ServerName> = emptySet(),
    /** Every commit that waited for a replica which has been removed is at or before this position. */
    val departedFloor: Position? = null,
    /** The latest request to another home for the primary's log position. */
    val positionRequest: OutstandingPositionRequest? = null,
    /** Peers that ask whether this proxy reaches the primary, while it probes the primary. */
    val sightings: List<WaitingSighting> = emptyList(),
)

/** The end of a replica's process, and of the log that it had received. */
data class Departure(
    /** When the end was first known. */
    val since: MonotonicTime,
    /** Start of the process in Unix milliseconds; null if it is not known. */
    val startedAtMillis: Long?,
)

/** A request to the home [prober] for the log position of a primary. */
data class OutstandingPositionRequest(val number: Long, val prober: Endpoint, val askedAt: MonotonicTime)

/** The request of a peer that is answered after a probe which was sent at [since]. */
data class WaitingSighting(val number: PeerRequestNumber, val since: MonotonicTime)

/** Every commit that was acknowledged before [sentAt] is at or before [position]. */
data class HeadSample(val sentAt: MonotonicTime, val position: Position)

/** Forbids the use of the primary that served before [epoch]. */
data class Fence(
    val epoch: Long,
    val since: MonotonicTime,
    val planned: Boolean,
    /** Whether writes sent to the primary are no longer reported as successful; only then is the fence confirmed. */
    val settled: Boolean = false,
    val waiting: PersistentList<PeerRequestNumber> = persistentListOf(),
)

/** A reason to replace the primary that is still to be confirmed, with the reports of the peers. */
data class Suspicion(
    val since: MonotonicTime,
    val reason: ChangeReason,
    val askedAt: MonotonicTime? = null,
    val asked: Set<Endpoint> = emptySet(),
    val reports: Map<Endpoint, PeerOutcome> = emptyMap(),
)

/** Why a primary is replaced. */
enum class ChangeReason(val description: String) {
    LEAVING("the primary is leaving"),
    UNREGISTERED("the primary is not registered"),
    REFUSING("the primary's host refuses connections"),
    SILENT("the primary does not answer"),
    DEPOSED("the primary reports the replica role"),
    SUPERSEDED("another server leads a later term"),
    ABANDONED("the proxy that replaces the primary makes no progress"),
    RESTORED("the store was restored and may lack the latest change"),
    ;

    /** Whether the primary still runs and hands its log over. */
    val planned: Boolean get() = this == LEAVING

    /** Whether other proxies are asked first if they reach the primary. */
    val needsSightings: Boolean get() = this == UNREGISTERED || this == REFUSING || this == SILENT
}

/** A change of primary that this proxy carries out. */
data class PrimaryChange(
    val reason: ChangeReason,
    val phase: ChangePhase,
    val phaseSince: MonotonicTime,
    /** The record that declares the change in the store. */
    val intent: FleetRecord.Group? = null,
    /** When the write of [intent] was confirmed; leases that began earlier expire within one lease duration. */
    val recordedAt: MonotonicTime? = null,
    /** Peers that have not confirmed the fence. */
    val unfenced: Set<Endpoint> = emptySet(),
    /** The latest outcome of a fence request to each peer that was asked. */
    val fenceOutcomes: Map<Endpoint, PeerOutcome> = emptyMap(),
    /** Peers that are asked to fence the primary. */
    val asked: Set<Endpoint> = emptySet(),
    /** Whether the registered proxies were read after the write of [intent]. */
    val membersRead: Boolean = false,
    /** When the requests of the current phase were last sent. */
    val requestsSentAt: MonotonicTime? = null,
    val statuses: Map<ServerName, ServerStatus> = emptyMap(),
    /** When the first of [statuses] arrived. */
    val reportedSince: MonotonicTime? = null,
    val rejected: Set<ServerName> = emptySet(),
    val successor: ServerName? = null,
    /** Servers whose promotion was requested in this change, by any proxy, and may have been carried out. */
    val mayHaveLed: Set<ServerName> = emptySet(),
    /** Whether the latest promotion request was accepted; false while its outcome is unknown. */
    val promotionAccepted: Boolean = false,
    /** Whether a promotion of the recorded primary was accepted without effect, so that no other server has led. */
    val primaryConfirmed: Boolean = false,
    val promoterLock: PromoterLock? = null,
    val published: FleetRecord.Group? = null,
)

/** The lock that allows promotion requests; [token] is its fencing token, or 0 until the lock is acquired. */
data class PromoterLock(val token: Long, val requestedAt: MonotonicTime)

/** Phases of a [PrimaryChange] in their usual order. */
enum class ChangePhase {
    RECORDING,
    FENCING,
    INSPECTING,
    CATCHING_UP,
    RECORDING_SUCCESSOR,
    ACQUIRING,
    PROMOTING,
    CONFIRMING,
    PUBLISHING,
}
