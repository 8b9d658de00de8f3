package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.tenant.TenantDemand
import dev.hibiscusreach.sessions.tenant.TenantName
import dev.hibiscusreach.sessions.tenant.TenantShares

/** The shares of the tenants that wait for a server, with the connections that they use now. */
internal class PoolShares(reduction: Reduction, server: RegisteredServer, waiting: WaitingTenants) {
    private val pool = ConnectionPools.connections(reduction, server.name)
    private val owned = pool.groupingBy { it.tenant }.eachCount()
    private val busy = pool.filter { !it.idle }.groupingBy { it.tenant }.eachCount()
    private val shares: Map<TenantName?, Int>

    init {
        val weights = reduction.state.configuration?.tenants?.weights
        val isPrimary = reduction.group(server.group).record?.primary == server.name
        val counts = waiting.at(isPrimary)
        val others = busy.filterKeys { it !in counts }.values.sum()
        val capacity = maxOf(0, ConnectionPools.maxConnections(reduction, server) - others)
        shares =
            TenantShares.divide(
                capacity,
                counts.mapValues { (tenant, count) ->
                    TenantDemand(weights?.weight(tenant) ?: 1.0, count + (busy[tenant] ?: 0))
                },
            )
    }

    /** Whether another tenant waits below its share, and [tenant] would exceed its own. */
    fun exceeds(tenant: TenantName?): Boolean =
        (busy[tenant] ?: 0) >= shareOf(tenant) &&
            shares.any { (other, share) -> other != tenant && (owned[other] ?: 0) < share }

    /**
     * Whether [tenant], whose turn it is, has less than its share while [owner] waits and has more than its own. A
     * tenant without a connection gets one from any owner that keeps another; otherwise two tenants with many waiting
     * statements would exchange their connections at every turn.
     */
    fun isOwed(tenant: TenantName?, owner: TenantName?): Boolean {
        val kept = if (tenant in owned) shareOf(owner) else 1
        return owner in shares && (owned[owner] ?: 0) > kept && (owned[tenant] ?: 0) < shareOf(tenant)
    }

    private fun shareOf(tenant: TenantName?): Int = shares[tenant] ?: 1

    companion object {
        /** Whether [pending] has to leave the server's next connection to a tenant below its share. */
        fun holdBack(
            reduction: Reduction,
            pending: PendingStatement,
            server: RegisteredServer,
            waiting: WaitingTenants,
        ): Boolean {
            val mayReplace = TenantPools.hasRoomForClosing(reduction, server) &&
                !ServerHealthTracking.isConnectPaused(reduction, server.name)
            val exceeds = mayReplace &&
                waiting.hasOthers(pending.tenant) &&
                PoolShares(reduction, server, waiting).exceeds(pending.tenant)
            waiting.heldBack = waiting.heldBack || exceeds
            return exceeds
        }
    }
}
