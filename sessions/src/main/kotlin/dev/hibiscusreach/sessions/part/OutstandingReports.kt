package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** Tells servers that do not report from servers that have had no time to do so. */
internal object OutstandingReports {
    /**
     * Whether the statuses of further servers may arrive soon. After a time in which this proxy reached no server, the
     * first status that arrives says nothing about the other servers.
     */
    fun mayArrive(reduction: Reduction, group: GroupView, change: PrimaryChange): Boolean {
        val reportedSince = change.reportedSince ?: change.phaseSince
        val statusTimeout = reduction.settings.changes.statusTimeout
        return when {
            reportedSince - change.phaseSince <= statusTimeout -> false
            // The successor receives the rest of the log from the primary.
            SuccessorChoice.isIncumbentReporting(group, change) -> false
            reduction.servers(group.name).all { it.name in change.statuses } -> false
            else -> reduction.now - reportedSince <= statusTimeout
        }
    }
}
