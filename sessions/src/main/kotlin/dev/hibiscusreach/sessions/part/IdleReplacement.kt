package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.ServerConnection

/** Chooses the idle connection that is closed in a full pool to make room for another tenant. */
internal object IdleReplacement {
    /** The connection that may be closed for [pending] and has been idle for longest; null if there is none. */
    fun victim(
        reduction: Reduction,
        pending: PendingStatement,
        server: RegisteredServer,
        waiting: WaitingTenants,
    ): ServerConnection? {
        val pool = ConnectionPools.connections(reduction, server.name)
        if (pool.size < ConnectionPools.maxConnections(reduction, server)) return null
        val current by lazy { PoolShares(reduction, server, waiting) }
        return TenantPools
            .longestIdle(pool)
            .filter { it.tenant != pending.tenant }
            .find { mayClose(reduction, pending, it) || current.isOwed(pending.tenant, it.tenant) }
    }

    private fun mayClose(reduction: Reduction, pending: PendingStatement, connection: ServerConnection): Boolean {
        val limits = reduction.settings.tenantPools
        val usedAt = connection.usedAt ?: return true
        val isFrequent = connection.checkoutInterval?.let { it <= limits.protection } ?: false
        val isRecent = reduction.now - usedAt <= limits.protection
        return !isFrequent || !isRecent || isImpatient(reduction, pending)
    }

    /** Whether [pending] has waited for so long that it may have any idle connection closed. */
    fun isImpatient(reduction: Reduction, pending: PendingStatement): Boolean {
        val changing = PrimaryStatus.isChanging(reduction.group(pending.route.group))
        val mayWait = pending.waitDeadline(reduction, changing) - pending.arrivedAt
        val waited = reduction.now - pending.arrivedAt
        return waited.value * FULL_PERCENT >= mayWait.value * reduction.settings.tenantPools.patiencePercent
    }
}
