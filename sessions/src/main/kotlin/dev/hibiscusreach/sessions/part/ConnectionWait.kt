package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.state.PendingStatement

/** How long statements wait for a server connection, and whether they can still meet their latency objective. */
internal object ConnectionWait {
    /**
     * The time until which [pending] may wait for a connection. With tenants, the rest of its statement timeout has to
     * suffice for a usual statement, because a late answer is worth more to callers than a refusal; but it may wait for
     * no less than [waitDeadline]. The wait for a token of an allowance ends at [waitDeadline] in any case.
     */
    fun deadline(reduction: Reduction, pending: PendingStatement, primaryChanging: Boolean): MonotonicTime {
        if (!TenantPools.apply(reduction)) return pending.waitDeadline(reduction, primaryChanging)
        val timeout = pending.route.statementTimeout
        val usual = UsualDurations(reduction, pending.route.group).of(pending)
        val latest = pending.arrivedAt + timeout - minOf(usual, Millis(timeout.value / LARGEST_PART))
        return maxOf(latest, pending.waitDeadline(reduction, primaryChanging = false))
    }

    /** The time until which [pending] can wait for a connection and meet its latency objective. */
    fun objectiveDeadline(
        reduction: Reduction,
        pending: PendingStatement,
        usual: UsualDurations = UsualDurations(reduction, pending.route.group),
    ): MonotonicTime {
        val objective = pending.route.latencyObjective
        return pending.arrivedAt + objective - minOf(usual.of(pending), Millis(objective.value / LARGEST_PART))
    }

    /**
     * A statement is reckoned to take no more than this part of its objective or timeout. Behind a slow server, all
     * statements would count as late otherwise, and the order by objective would be lost.
     */
    private const val LARGEST_PART = 4
}
