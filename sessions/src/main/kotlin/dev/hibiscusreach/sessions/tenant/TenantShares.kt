package dev.hibiscusreach.sessions.tenant

/** The connections that a tenant could use at a server, with the weight of the tenant. */
data class TenantDemand(val weight: Double, val connections: Int)

/** Divides the connections of one pool among the tenants that wait for it. */
object TenantShares {
    /**
     * The weighted max-min shares of [capacity]: what a tenant does not need is lent to the others. Shares are rounded
     * down, but every tenant may have one connection; the fair order decides whose turn it is.
     */
    fun divide(capacity: Int, demands: Map<TenantName?, TenantDemand>): Map<TenantName?, Int> {
        val shares = HashMap<TenantName?, Int>()
        var left = capacity.toDouble()
        var weight = demands.values.sumOf { it.weight }
        for ((tenant, demand) in demands.entries.sortedBy { it.value.connections / it.value.weight }) {
            val share = minOf(demand.connections.toDouble(), left * demand.weight / weight)
            shares[tenant] = maxOf(1, (share + ROUNDING).toInt())
            left -= share
            weight -= demand.weight
        }
        return shares
    }

    /** Keeps a whole share whole when its fraction was rounded. */
    private const val ROUNDING = 1e-9
}
