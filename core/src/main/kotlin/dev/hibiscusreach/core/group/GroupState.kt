package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.reducer.GroupSettings
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** A request that waits until a majority holds [position]. */
internal data class DurabilityWait(val position: Position, val waitUntil: MonotonicTime)

/** A request that waits for a majority's answer to something sent at or after [since]. */
internal data class LeadershipWait(val since: MonotonicTime, val waitUntil: MonotonicTime)

/** The use of the one Confirm command that may be outstanding to a replica. */
internal enum class ConfirmChannel {
    OUTSTANDING,

    /** Failed or refused; not tried again before the next probe period, so that a fast refusal causes no busy loop. */
    PAUSED,
}

/** What a home knows of one database group. */
internal data class GroupState(
    val group: DatabaseGroup,
    val settings: GroupSettings,
    /** Since when the group has been monitored without a pause of this process. */
    val monitoredSince: MonotonicTime,
    val term: Term = Term(0),
    /** The primary of [term]. */
    val primary: ServerName? = null,
    /** When [primary] was learned. */
    val adoptedAt: MonotonicTime = monitoredSince,
    /** The highest term seen anywhere; above [term] while a proposer is at work or after it failed. */
    val highestTerm: Term = Term(0),
    val highestTermSince: MonotonicTime = monitoredSince,
    /** Head of the primary when its term began; null if its first entry of the term was already there. */
    val termStart: Position? = null,
    val health: PersistentMap<ServerName, ServerHealth> = persistentMapOf(),
    /** Highest index of each term that a majority was known to hold. */
    val settled: PersistentMap<Term, Long> = persistentMapOf(),
    val samples: HeadSamples = HeadSamples(),
    val durabilityWaits: PersistentMap<AttemptNumber, DurabilityWait> = persistentMapOf(),
    val leadershipWaits: PersistentMap<AttemptNumber, LeadershipWait> = persistentMapOf(),
    /** Send time of the latest probes sent for [leadershipWaits]. */
    val leadershipProbedAt: MonotonicTime = ServerHealth.NEVER,
    val confirms: PersistentMap<ServerName, ConfirmChannel> = persistentMapOf(),
    val failover: FailoverState = FailoverState.Watching,
    val failoverNotBefore: MonotonicTime = ServerHealth.NEVER,
    /** When this process stopped being the home; the group is dropped some time later. */
    val retiredAt: MonotonicTime? = null,
) {
    /** The name of the database. */
    val name: DatabaseName get() = group.name

    /** The health of [server]; empty if nothing is known. */
    fun healthOf(server: ServerName): ServerHealth = health[server] ?: UNKNOWN_HEALTH

    /** This state with the health of [server] changed. */
    fun withHealth(server: ServerName, change: (ServerHealth) -> ServerHealth): GroupState =
        copy(health = health.put(server, change(healthOf(server))))

    /** Whether [server] answered recently. */
    fun isReachable(server: ServerName, now: MonotonicTime): Boolean =
        healthOf(server).isReachable(now, settings.suspicionAfter)

    /** The primary of the current term, or null while it is not known or being replaced. */
    fun servingPrimary(): ServerName? {
        val replacing = failover is FailoverState.Fencing || failover is FailoverState.Promoting
        return primary?.takeUnless { replacing || isDeposed(it) }
    }

    /** Whether the server itself reports that it is not the primary of the current term any more. */
    fun isDeposed(server: ServerName): Boolean {
        val known = healthOf(server)
        val status = known.status ?: return false
        val demoted = status.role == ServerRole.REPLICA && known.statusSentAt >= adoptedAt
        return status.term > term || (status.term == term && demoted)
    }

    /** Latest time T such that a majority answered in the current term to something sent at or after T. */
    fun leadershipVerifiedAt(): MonotonicTime? =
        ofMajority { healthOf(it).answeredInTermAt.takeIf { _ -> healthOf(it).term == term } }

    /** The highest position that a majority is known to hold in the current term. */
    fun durable(): Position = ofMajority(::heldInTerm) ?: Position.ORIGIN

    /** Whether [position] is known to be part of the database's history for good. */
    fun isSettled(position: Position): Boolean =
        position == Position.ORIGIN || position.index <= (settled[position.term] ?: NOTHING_SETTLED)

    /** The position that [server] holds for sure, as part of the current primary's log; null in another term. */
    fun heldInTerm(server: ServerName): Position? {
        val known = healthOf(server)
        return when {
            known.term != term -> null
            known.held.term == term -> known.held
            // An entry of an older term after the term's start may have been written by a replaced primary only.
            else -> termStart?.let { minOf(it, known.held) }
        }
    }

    // The value that a majority of the servers reaches; servers without a value count as lower than any.
    private fun <T : Comparable<T>> ofMajority(value: (ServerName) -> T?): T? =
        group.servers
            .mapNotNull { value(it.name) }
            .sortedDescending()
            .getOrNull(group.majority - 1)

    private companion object {
        val UNKNOWN_HEALTH = ServerHealth()
        const val NOTHING_SETTLED = -1L
    }
}
