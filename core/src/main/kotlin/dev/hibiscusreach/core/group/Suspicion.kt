package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** Starts a failover if the group needs a new primary and no failover is in progress. */
internal fun GroupsStepBuilder.startFailoverIfNeeded(database: DatabaseName) {
    val groupState = group(database) ?: return
    val idle = groupState.failover is FailoverState.Watching || groupState.failover is FailoverState.Recording
    val due = groupState.retiredAt == null && now >= groupState.failoverNotBefore
    if (idle && due && groupState.needsNewPrimary(now)) requestSightings(groupState)
}

/** Whether the group has been without a working primary for long enough to start a failover. */
internal fun GroupState.needsNewPrimary(now: MonotonicTime): Boolean =
    when {
        highestTerm > term -> now - highestTermSince >= proposerTimeout()
        primary == null -> reachesMajority(now)
        else -> mustReplacePrimary(now)
    }

/** Whether the primary of the current term is known but does not answer, was demoted, or is leaving. */
internal fun GroupState.mustReplacePrimary(now: MonotonicTime): Boolean =
    primary != null &&
        (healthOf(primary).refusedRepeatedly || isDeposed(primary) || isSilent(now) || canReplaceLeaving(now))

/** Whether the group needs a new primary and this process reaches enough servers to promote one. */
internal fun GroupState.mayPropose(now: MonotonicTime): Boolean = needsNewPrimary(now) && reachesMajority(now)

/**
 * Whether this process reaches the primary. The limit is shorter than the suspicion time: monitors suspect a primary at
 * slightly different times, and answers from before the failure must not outvote the first one.
 */
internal fun GroupState.seesPrimary(now: MonotonicTime): Boolean =
    primary != null && !needsNewPrimary(now) && healthOf(primary).isReachable(now, settings.probePeriod * 2)

/** Whether the server itself reports that it is no longer the primary of the current term. */
internal fun GroupState.isDeposed(server: ServerName): Boolean {
    val serverHealth = healthOf(server)
    val status = serverHealth.status ?: return false
    val demoted = status.role == ServerRole.REPLICA && serverHealth.statusSentAt >= adoptedAt
    return status.term > term || (status.term == term && demoted)
}

// Another proposer gets the failover timeout to finish. Without a known primary the time is shorter: there may be no
// other proposer, and a new proposal interrupts no working primary.
private fun GroupState.proposerTimeout(): Millis =
    if (primary == null) settings.suspicionAfter else settings.failoverTimeout

private fun GroupState.isSilent(now: MonotonicTime): Boolean {
    val respondedAt = primary?.let { healthOf(it).respondedAt } ?: ServerHealth.NEVER
    return now - maxOf(respondedAt, adoptedAt, monitoredSince) >= settings.suspicionAfter
}

// A leaving primary is replaced while it still works, provided that the remaining servers form a majority without it.
private fun GroupState.canReplaceLeaving(now: MonotonicTime): Boolean =
    primary != null &&
        isLeaving(primary) &&
        group.servers.count { !isLeaving(it.name) && isReachable(it.name, now) } >= group.majority

// A monitor that does not reach a majority could claim a term but not promote a primary in it.
private fun GroupState.reachesMajority(now: MonotonicTime): Boolean =
    group.servers.count { isReachable(it.name, now) } >= group.majority
