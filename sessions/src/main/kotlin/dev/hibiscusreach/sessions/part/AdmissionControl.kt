package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session

/** Detects statements that cannot be served in time, so that they are refused at once instead of being queued. */
internal object AdmissionControl {
    /** The error with which [pending] must be refused; null if it may wait. */
    fun refusalReason(reduction: Reduction, session: Session, pending: PendingStatement): Pair<ErrorKind, String>? {
        val group = reduction.group(pending.route.group)
        val needsPrimary = ServerSelection.needsPrimary(session, pending)
        return when {
            StatementForwarding.isNeeded(reduction, session, pending) -> null
            pending.route.group !in reduction.state.configuration?.groups.orEmpty() ->
                ErrorKind.NO_CONFIGURATION to "the group is not configured"
            needsPrimary && !PrimaryStatus.leaseIsValid(reduction) && reduction.state.fleet.storeLost ->
                ErrorKind.NO_PRIMARY to "the lease on the primary has expired and cannot be renewed"
            needsPrimary && isDown(reduction, group.record?.primary) && !PrimaryStatus.isChanging(group) ->
                ErrorKind.NO_PRIMARY to "the primary does not answer"
            needsPrimary && isPromotionTooLate(reduction, group, pending) ->
                ErrorKind.NO_PRIMARY to "no server is promoted in time after the restoration of the store"
            else -> overload(reduction, session, pending)
        }
    }

    // While late statements of the tenant wait, its load exceeds what it gets, and those that are on time are always
    // served before them. A further statement that would be late would be refused after a long wait. Retries, and
    // statements that wait for a new primary, are late for other reasons.
    private fun overload(reduction: Reduction, session: Session, pending: PendingStatement): Pair<ErrorKind, String>? {
        // A statement of a tenant may have waited for a token, or at the proxy that forwarded it.
        val from = if (TenantPools.apply(reduction)) reduction.now else pending.arrivedAt
        val expectedAt = from + expectedWait(reduction, session, pending)
        return when {
            expectedAt > ConnectionWait.deadline(reduction, pending, primaryChanging = false) ->
                ErrorKind.OVERLOADED to "too many statements are queued for the group"
            TenantPools.apply(reduction) &&
                pending.attempts == 0 &&
                !PrimaryStatus.isChanging(reduction.group(pending.route.group)) &&
                expectedAt > ConnectionWait.objectiveDeadline(reduction, pending) &&
                FairQueue.hasLate(reduction, session, pending) ->
                ErrorKind.OVERLOADED to "late statements of the tenant are queued already"
            else -> null
        }
    }

    private fun isDown(reduction: Reduction, primary: ServerName?): Boolean =
        primary != null && ServerHealthTracking.isSilent(reduction, primary)

    private fun isPromotionTooLate(reduction: Reduction, group: GroupView, pending: PendingStatement): Boolean {
        val deadline = ConnectionWait.deadline(reduction, pending, primaryChanging = true)
        return PrimaryStatus.isChanging(group) && reduction.now + StoreEras.remainingWait(reduction) > deadline
    }

    /** The time in which all waiting statements of [group] are probably served. */
    fun queueDuration(reduction: Reduction, group: GroupName): Millis =
        wait(reduction, reduction.servers(group), reduction.state.waiting[group]?.size ?: 0)

    // Assumes that each statement queued ahead takes the latency of the slowest server, spread over all connections
    // that the statement can use.
    private fun expectedWait(reduction: Reduction, session: Session, pending: PendingStatement): Millis {
        if (!TenantPools.apply(reduction)) return queueDuration(reduction, pending.route.group)
        val usable = ServerSelection.candidates(reduction, session, pending).map { it.server }
        val servers = usable.ifEmpty { reduction.servers(pending.route.group) }
        return wait(reduction, servers, FairQueue.ahead(reduction, session, pending))
    }

    private fun wait(reduction: Reduction, servers: List<RegisteredServer>, queuedAhead: Int): Millis {
        val connections = servers.sumOf { usableConnections(reduction, it) }
        val latencies = servers.mapNotNull { reduction.health(it.name).latency?.value }
        val latency = if (latencies.isEmpty()) reduction.settings.connections.expectedLatency.value else latencies.max()
        return Millis(queuedAhead * latency / maxOf(1, connections))
    }

    private fun usableConnections(reduction: Reduction, server: RegisteredServer): Int {
        val connections = ConnectionPools.maxConnections(reduction, server)
        return if (ServerLoads.apply(reduction)) {
            minOf(connections, ConcurrencyLimit.value(reduction, server))
        } else {
            connections
        }
    }
}
