package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.reducer.GroupSettings
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** A request that waits until [position] is durable. */
internal data class DurabilityWait(val position: Position, val waitUntil: MonotonicTime)

/** A request that waits until a majority has answered to commands sent at or after [since]. */
internal data class LeadershipWait(val since: MonotonicTime, val waitUntil: MonotonicTime)

/** Why no further Confirm command may be sent to a replica; at most one is outstanding at a time. */
internal enum class ConfirmState {
    OUTSTANDING,

    /** Failed or refused. Retried from the next probe period on, because a fast refusal would cause a busy loop. */
    PAUSED,
}

/** What the home of a database group knows of it. */
internal data class GroupState(
    val group: DatabaseGroup,
    val settings: GroupSettings,
    /** Start of the monitoring, or the end of the last pause of this process. */
    val monitoredSince: MonotonicTime,
    val term: Term = Term(0),
    /** The primary of [term]. */
    val primary: ServerName? = null,
    /** When [primary] was learned. */
    val adoptedAt: MonotonicTime = monitoredSince,
    /** The highest term seen on any server or peer; above [term] during a failover and after a failed one. */
    val highestTerm: Term = Term(0),
    val highestTermSince: MonotonicTime = monitoredSince,
    /** Head of the primary when its term began; null if its first entry of the term was already there. */
    val termStart: Position? = null,
    val health: PersistentMap<ServerName, ServerHealth> = persistentMapOf(),
    /** Highest durable index of each term; see [isDurable]. */
    val durableIndexes: PersistentMap<Term, Long> = persistentMapOf(),
    val samples: HeadSamples = HeadSamples(),
    val durabilityWaits: PersistentMap<AttemptNumber, DurabilityWait> = persistentMapOf(),
    val leadershipWaits: PersistentMap<AttemptNumber, LeadershipWait> = persistentMapOf(),
    /** When the latest probes for [leadershipWaits] were sent. */
    val leadershipProbedAt: MonotonicTime = ServerHealth.NEVER,
    val confirms: PersistentMap<ServerName, ConfirmState> = persistentMapOf(),
    val failover: FailoverState = FailoverState.Watching,
    val failoverNotBefore: MonotonicTime = ServerHealth.NEVER,
    /** Servers of the group that the platform's list names as leaving. */
    val listedLeaving: Set<ServerName> = emptySet(),
    /** When this process stopped being the home; the state is dropped some time later. */
    val retiredAt: MonotonicTime? = null,
) {
    /** The name of the database. */
    val name: DatabaseName get() = group.name

    /** The health of [server]; empty if nothing is known. */
    fun healthOf(server: ServerName): ServerHealth = health[server] ?: UNKNOWN_HEALTH

    /** This state with the health of [server] changed. */
    fun withHealth(server: ServerName, change: (ServerHealth) -> ServerHealth): GroupState =
        copy(health = health.put(server, change(healthOf(server))))

    /** Whether [server] answered within the suspicion time and refused no connection since. */
    fun isReachable(server: ServerName, now: MonotonicTime): Boolean =
        healthOf(server).isReachable(now, settings.suspicionAfter)

    /** Whether the server itself or the platform reports that it is leaving. */
    fun isLeaving(server: ServerName): Boolean = server in listedLeaving || healthOf(server).status?.leaving == true

    /** The primary of the current term, or null while it is not known or being replaced. */
    fun servingPrimary(): ServerName? {
        val replacing = failover is FailoverState.Fencing || failover is FailoverState.Promoting
        return primary?.takeUnless { replacing || isDeposed(it) }
    }

    /** Latest time T such that a majority answered in the current term to commands sent at or after T. */
    fun leadershipVerifiedAt(): MonotonicTime? =
        ofMajority { healthOf(it).answeredInTermAt.takeIf { _ -> healthOf(it).term == term } }

    /** The highest position that a majority is known to hold in the current term. */
    fun durable(): Position = ofMajority(::heldInTerm) ?: Position.ORIGIN

    /** Whether [position] is known to be held by a majority, so that no promotion can lose it. */
    fun isDurable(position: Position): Boolean =
        position == Position.ORIGIN || position.index <= (durableIndexes[position.term] ?: NO_DURABLE_INDEX)

    /** The position up to which [server] holds the current primary's log for certain; null in another term. */
    fun heldInTerm(server: ServerName): Position? {
        val serverHealth = healthOf(server)
        return when {
            serverHealth.term != term -> null
            serverHealth.held.term == term -> serverHealth.held
            // Entries of an older term after the start of the current one may come from a replaced primary.
            else -> termStart?.let { minOf(it, serverHealth.held) }
        }
    }

    // The highest value that a majority of the servers has reached; a server without a value has reached none.
    private fun <T : Comparable<T>> ofMajority(value: (ServerName) -> T?): T? =
        group.servers
            .mapNotNull { value(it.name) }
            .sortedDescending()
            .getOrNull(group.majority - 1)

    private companion object {
        val UNKNOWN_HEALTH = ServerHealth()
        const val NO_DURABLE_INDEX = -1L
    }
}
