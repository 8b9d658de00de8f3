package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** Starts a failover if the group needs a new primary and none is under way. */
internal fun GroupsTurn.watchPrimary(database: DatabaseName) {
    val known = group(database) ?: return
    val idle = known.failover is FailoverState.Watching || known.failover is FailoverState.Recording
    val due = known.retiredAt == null && now >= known.failoverNotBefore
    if (idle && due && known.needsPrimary(now)) collectSightings(known)
}

/** Whether the group has no primary that works, for long enough to be replaced. */
internal fun GroupState.needsPrimary(now: MonotonicTime): Boolean =
    when {
        highestTerm > term -> now - highestTermSince >= proposerLimit()
        primary == null -> majorityAnswered(now)
        else -> primaryIsUnfit(now)
    }

/** Whether the primary of the current term is known, but does not answer, was demoted, or is leaving. */
internal fun GroupState.primaryIsUnfit(now: MonotonicTime): Boolean =
    primary != null &&
        (healthOf(primary).refusedRepeatedly || isDeposed(primary) || isSilent(now) || canReplaceLeaving(now))

/** Whether this process needs a new primary and reaches enough servers to promote one. */
internal fun GroupState.mayPropose(now: MonotonicTime): Boolean = needsPrimary(now) && majorityAnswered(now)

/**
 * Whether this process sees the primary work. The limit is shorter than the suspicion's: monitors suspect at slightly
 * different times, and the first must not be outvoted by answers from before the failure.
 */
internal fun GroupState.seesPrimary(now: MonotonicTime): Boolean =
    primary != null && !needsPrimary(now) && healthOf(primary).isReachable(now, settings.probePeriod * 2)

/** Whether the server itself reports that it is not the primary of the current term any more. */
internal fun GroupState.isDeposed(server: ServerName): Boolean {
    val known = healthOf(server)
    val status = known.status ?: return false
    val demoted = status.role == ServerRole.REPLICA && known.statusSentAt >= adoptedAt
    return status.term > term || (status.term == term && demoted)
}

// Another proposer gets the failover's time. Where no primary is known there may be none, and nothing to interrupt.
private fun GroupState.proposerLimit(): Millis =
    if (primary == null) settings.suspicionAfter else settings.failoverTimeout

private fun GroupState.isSilent(now: MonotonicTime): Boolean {
    val respondedAt = primary?.let { healthOf(it).respondedAt } ?: ServerHealth.NEVER
    return now - maxOf(respondedAt, adoptedAt, monitoredSince) >= settings.suspicionAfter
}

// A leaving primary is replaced while it still works, provided that the others are a majority without it.
private fun GroupState.canReplaceLeaving(now: MonotonicTime): Boolean =
    primary != null &&
        isLeaving(primary) &&
        group.servers.count { !isLeaving(it.name) && isReachable(it.name, now) } >= group.majority

// Monitors that cannot reach a majority could only claim a term that they cannot fill.
private fun GroupState.majorityAnswered(now: MonotonicTime): Boolean =
    group.servers.count { isReachable(it.name, now) } >= group.majority
