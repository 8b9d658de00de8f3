package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.ServerStatus
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** What this proxy believes of a group. */
data class GroupView(
    val name: GroupName,
    val record: FleetRecord.Group? = null,
    val revision: Long = 0,
    val adoptedAt: MonotonicTime? = null,
    /** Newest last. */
    val heads: PersistentList<HeadSample> = persistentListOf(),
    val fence: Fence? = null,
    val suspicion: Suspicion? = null,
    val change: PrimaryChange? = null,
    /** No change is started before this time. */
    val changeAfter: MonotonicTime? = null,
    /** When the server that calls itself the primary was last asked for its term, before a record exists. */
    val statusAskedAt: MonotonicTime? = null,
    /** When the proxy that changes the primary was last asked whether it runs. */
    val changerAskedAt: MonotonicTime? = null,
    /** When that proxy last answered that it goes on. */
    val changerSeenAt: MonotonicTime? = null,
    /** When replicas were first missing, as long as no later head position of the primary is known. */
    val departed: Map<ServerName, MonotonicTime> = emptyMap(),
    /** Every commit that waited for a replica which has left is at or before this position. */
    val departedFloor: Position? = null,
)

/** Every commit that was acknowledged before [sentAt] is at or before [position]. */
data class HeadSample(val sentAt: MonotonicTime, val position: Position)

/** The primary before [epoch] must not be used any more. */
data class Fence(
    val epoch: Long,
    val since: MonotonicTime,
    val planned: Boolean,
    /** Whether nothing sent to the primary is trusted any more; peers may rely on it. */
    val settled: Boolean = false,
    val waiting: PersistentList<PeerRequestNumber> = persistentListOf(),
)

/** The primary seems to have failed. */
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
    DEPOSED("the primary calls itself a replica"),
    ABANDONED("the proxy that replaces the primary makes no progress"),
    ;

    /** Whether the primary still works and hands over. */
    val planned: Boolean get() = this == LEAVING

    /** Whether the sightings of other proxies decide. */
    val needsSightings: Boolean get() = this == UNREGISTERED || this == REFUSING || this == SILENT
}

/** A change of primary that this proxy carries out. */
data class PrimaryChange(
    val reason: ChangeReason,
    val phase: ChangePhase,
    val phaseSince: MonotonicTime,
    /** The record that states the intent, until it is known to be written. */
    val intent: FleetRecord.Group? = null,
    /** When the intent was known to be recorded; leases that began before end a lease duration later. */
    val recordedAt: MonotonicTime? = null,
    /** Peers that have not confirmed the fence. */
    val unfenced: Set<Endpoint> = emptySet(),
    /** Peers that were known when the fence began. */
    val asked: Set<Endpoint> = emptySet(),
    /** Whether the members were read after the intent was recorded. */
    val membersRead: Boolean = false,
    val requestsSentAt: MonotonicTime? = null,
    val statuses: Map<ServerName, ServerStatus> = emptyMap(),
    val rejected: Set<ServerName> = emptySet(),
    val successor: ServerName? = null,
    val promoterLock: PromoterLock? = null,
    val published: FleetRecord.Group? = null,
)

/** The right to order promotions. */
data class PromoterLock(val token: Long, val requestedAt: MonotonicTime)

/** Steps of a [PrimaryChange]. */
enum class ChangePhase { RECORDING, FENCING, INSPECTING, CATCHING_UP, ACQUIRING, PROMOTING, CONFIRMING, PUBLISHING }
