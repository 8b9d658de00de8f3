package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Term

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
        highestTerm > term -> now - highestTermSince >= settings.failoverTimeout
        primary == null -> majorityAnswered(now)
        else -> healthOf(primary).refusedRepeatedly || isDeposed(primary) || isSilent(now)
    }

private fun GroupState.isSilent(now: MonotonicTime): Boolean {
    val respondedAt = primary?.let { healthOf(it).respondedAt } ?: ServerHealth.NEVER
    return now - maxOf(respondedAt, adoptedAt, monitoredSince) >= settings.suspicionAfter
}

// Monitors that cannot reach a majority could only claim a term that they cannot fill.
internal fun GroupState.mayPropose(now: MonotonicTime): Boolean = needsPrimary(now) && majorityAnswered(now)

private fun GroupState.majorityAnswered(now: MonotonicTime): Boolean =
    group.servers.count { isReachable(it.name, now) } >= group.majority

// Shorter than the suspicion: monitors suspect at slightly different times, and the first must not be outvoted by
// answers from before the failure.
internal fun GroupState.seesPrimary(now: MonotonicTime): Boolean {
    val known = primary ?: return false
    return term != Term(0) && !isDeposed(known) && healthOf(known).isReachable(now, settings.probePeriod * 2)
}
