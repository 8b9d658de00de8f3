package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction
import dev.hibiscusreach.sessions.tenant.TenantName

/** Limits the connections that transactions of one tenant hold between two statements. */
internal object RestingTransactions {
    /**
     * Whether a transaction may begin at [server]. While a statement of another tenant waits that could be run there,
     * one tenant's transactions at rest may hold half of the pool. At any time, its transactions may hold all
     * connections but one: those that come to rest cannot be made to give their connections back to a tenant that
     * waits later.
     */
    fun mayBegin(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        server: RegisteredServer,
    ): Boolean {
        val tenants = reduction.state.configuration?.tenants?.tenants.orEmpty().size
        val isShared = tenants > 1 || TenantPools.hasPublicRoute(reduction, server.group)
        if (session.transaction !is Transaction.Begun || !isShared) return true
        val maximum = ConnectionPools.maxConnections(reduction, server)
        val holders = holders(reduction, server.name, pending.tenant)
        val resting = holders.count { it.pending == null }
        val share = maximum * reduction.settings.tenantPools.restPercent / FULL_PERCENT
        val mayRest = resting < maxOf(1, share) || !isNeededByOthers(reduction, pending, server)
        return mayRest && holders.size < maxOf(1, maximum - 1)
    }

    private fun isNeededByOthers(reduction: Reduction, pending: PendingStatement, server: RegisteredServer): Boolean =
        reduction.state.waiting[server.group]
            .orEmpty()
            .mapNotNull { reduction.session(it) }
            .any { other ->
                val waiting = other.pending
                waiting != null &&
                    waiting.tenant != pending.tenant &&
                    !StatementForwarding.isNeeded(reduction, other, waiting) &&
                    ServerSelection.candidates(reduction, other, waiting).any { it.server.name == server.name }
            }

    // The sessions of the tenant whose transactions hold connections to the server.
    private fun holders(reduction: Reduction, server: ServerName, tenant: TenantName?): List<Session> =
        ConnectionPools
            .connections(reduction, server)
            .filter { it.tenant == tenant }
            .mapNotNull { connection -> connection.heldBy?.let { reduction.session(it) } }
            .filter { it.transaction is Transaction.Begun || it.running != null }
}
