package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.Consistency
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** A server that can run a statement, and the position that it must have applied; null if there is no minimum. */
internal data class ServerCandidate(val server: RegisteredServer, val minimumPosition: Position?)

/** Selects the servers that can run a statement. */
internal object ServerSelection {
    /** The servers that can run the pending statement, in order of ascending cost. */
    fun candidates(reduction: Reduction, session: Session, pending: PendingStatement): List<ServerCandidate> {
        val group = reduction.group(pending.route.group)
        val primary = primaryCandidate(reduction, group, session, pending)
        if (needsPrimary(session, pending)) return listOfNotNull(primary)
        val position = PrimaryStatus.minimumPosition(reduction, session, pending)
        val replicas = if (position == null) emptyList() else replicaCandidates(reduction, group, pending, position)
        val able = (replicas + listOfNotNull(primary)).distinctBy { it.server.name }
        return if (ServerLoads.apply(reduction)) {
            AdaptiveSelection.order(reduction, session, pending, able) { connectPenalty(reduction, pending, it.server) }
        } else {
            able.sortedBy { (cost(reduction, it.server) + connectPenalty(reduction, pending, it.server)).value }
        }
    }

    /** Whether only the primary can run the statement. */
    fun needsPrimary(session: Session, pending: PendingStatement): Boolean =
        when (val transaction = session.transaction) {
            is Transaction.Begun -> !transaction.readOnly || pending.route.consistency is Consistency.Primary
            else -> pending.access == Access.WRITE || pending.route.consistency is Consistency.Primary
        }

    /**
     * Expected duration of a statement at [server]: the smoothed latency times one more than the number of connections
     * in use, plus a penalty if the server is in another failure domain or region.
     */
    fun cost(reduction: Reduction, server: RegisteredServer): Millis {
        val latency = reduction.health(server.name).latency ?: reduction.settings.connections.expectedLatency
        val held = ConnectionPools.connections(reduction, server.name).count { it.heldBy != null }
        return distancePenalty(reduction, server) + Millis(latency.value * (held + 1))
    }

    /** Extra cost of a server in another failure domain or region. */
    fun distancePenalty(reduction: Reduction, server: RegisteredServer): Millis {
        val limits = reduction.settings.connections
        val self = reduction.state.self
        return when {
            server.failureDomain == self.failureDomain -> Millis(0)
            self.regions[server.failureDomain] == self.regions[self.failureDomain] -> limits.domainPenalty
            else -> limits.regionPenalty
        }
    }

    // A statement of a tenant waits longer at a server to which the tenant has no idle connection.
    private fun connectPenalty(reduction: Reduction, pending: PendingStatement, server: RegisteredServer): Millis {
        val isNeeded = TenantPools.apply(reduction) &&
            ConnectionPools.connections(reduction, server.name).none { it.idle && it.tenant == pending.tenant }
        return if (isNeeded) reduction.settings.tenantPools.connectPenalty else Millis(0)
    }

    // An excluded or unreachable primary stays a candidate for statements that no other server can run.
    private fun primaryCandidate(
        reduction: Reduction,
        group: GroupView,
        session: Session,
        pending: PendingStatement,
    ): ServerCandidate? {
        val margin = if (pending.access == Access.WRITE) reduction.settings.leases.writeMargin else Millis(0)
        val name = PrimaryStatus.usablePrimary(reduction, group, margin) ?: return null
        val primaryOnly = needsPrimary(session, pending)
        return reduction.state
            .server(name)
            ?.takeIf { primaryOnly || isReachable(reduction, name) && name !in pending.excluded }
            ?.let { ServerCandidate(it, minimumPosition = null) }
    }

    private fun replicaCandidates(
        reduction: Reduction,
        group: GroupView,
        pending: PendingStatement,
        position: Position,
    ): List<ServerCandidate> =
        SuccessorChoice
            .replicas(reduction, group)
            .filter { !it.leaving && it.name !in pending.excluded }
            .filter { isReachable(reduction, it.name) && !isLagging(reduction, it.name) }
            .map { ServerCandidate(it, position) }

    private fun isLagging(reduction: Reduction, name: ServerName) =
        reduction.health(name).behindUntil?.let { reduction.now < it } ?: false

    private fun isReachable(reduction: Reduction, name: ServerName): Boolean {
        val canConnect =
            !ServerHealthTracking.isConnectPaused(reduction, name) ||
                ConnectionPools.connections(reduction, name).any { it.open }
        return canConnect && !ServerHealthTracking.isSilent(reduction, name)
    }
}
