package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session

/** Recognizes statements that cannot be served in time, so that they are refused at once. */
internal object AdmissionControl {
    /** Why [pending] should be refused now; null if it may wait. */
    fun reason(turn: Reduction, session: Session, pending: PendingStatement): Pair<ErrorKind, String>? {
        val group = turn.group(pending.route.group)
        val needsPrimary = ServerSelection.needsPrimary(session, pending)
        return when {
            pending.route.group !in turn.state.configuration?.groups.orEmpty() ->
                ErrorKind.NO_CONFIGURATION to "the group is not configured"
            needsPrimary && !PrimaryStatus.leaseHolds(turn) && turn.state.fleet.storeLost ->
                ErrorKind.NO_PRIMARY to "the lease on the primary has expired and cannot be renewed"
            needsPrimary && isDown(turn, group.record?.primary) && !PrimaryStatus.changing(group) ->
                ErrorKind.NO_PRIMARY to "the primary does not answer"
            expectedWait(turn, pending) > limit(turn, pending) ->
                ErrorKind.OVERLOADED to "too many statements wait for the group"
            else -> null
        }
    }

    private fun isDown(turn: Reduction, primary: ServerName?): Boolean =
        primary != null && ServerHealthTracking.isSilent(turn, primary)

    // Every waiting statement before this one takes its share of the group's connections.
    private fun expectedWait(turn: Reduction, pending: PendingStatement): Millis {
        val servers = turn.servers(pending.route.group)
        val connections = servers.sumOf { ConnectionPools.limit(turn, it) }
        val latencies = servers.mapNotNull { turn.health(it.name).latency?.value }
        val latency = if (latencies.isEmpty()) turn.settings.connections.expectedLatency.value else latencies.max()
        val ahead = turn.state.waiting[pending.route.group]?.size ?: 0
        return Millis(ahead * latency / maxOf(1, connections))
    }

    private fun limit(turn: Reduction, pending: PendingStatement): Millis =
        pending.waitsUntil(turn, changing = false) - pending.arrivedAt
}
