package dev.hibiscusreach.sessions.allowance

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.reducer.RendezvousHash
import dev.hibiscusreach.sessions.tenant.TenantName

/** A proxy that may own a part of allowances. */
data class AllowanceProxy(val endpoint: Endpoint, val failureDomain: FailureDomainName?)

/**
 * Chooses the owners of tenants among a set of proxies. A proxy that is chosen is also chosen from every subset that it
 * belongs to; the rule about who may grant relies on this.
 */
class OwnerChoice(val proxies: Set<AllowanceProxy>) {
    private val owners = HashMap<TenantName, List<AllowanceProxy>>()
    private val minimumRanks = HashMap<TenantName, Int>()

    /**
     * The number of parts of a limit of which each owner grants one. Where this set contains all proxies that may
     * grant, there are at least as many parts as owners that do.
     */
    val parts: Int get() = minOf(AllowanceLimits.OWNERS, maxOf(1, proxies.size))

    /** The owners of [tenant], first in rank first: the first proxies of different failure domains, and then others. */
    fun owners(tenant: TenantName): List<AllowanceProxy> = remembered(owners, tenant) { choose(tenant) }

    /**
     * Operations of a [budget] that [self] may start, which is distributed over the proxies one by one. Callers pass
     * the same [self] every time.
     */
    fun share(tenant: TenantName, self: Endpoint, budget: Int): Int {
        if (proxies.isEmpty()) return 0
        val rank = remembered(minimumRanks, tenant) { rank(tenant, self) }
        val remainder = if (rank in 0 until budget % proxies.size) 1 else 0
        return if (rank < 0) 0 else budget / proxies.size + remainder
    }

    private fun rank(tenant: TenantName, self: Endpoint): Int =
        RendezvousHash.rank("minimum/$tenant", proxies) { it.endpoint }.indexOfFirst { it.endpoint == self }

    private fun choose(tenant: TenantName): List<AllowanceProxy> {
        val ranked = RendezvousHash.rank("allowance/$tenant", proxies) { it.endpoint }
        val first = ranked.distinctBy { it.failureDomain }.take(AllowanceLimits.OWNERS)
        return first + (ranked - first.toSet()).take(AllowanceLimits.OWNERS - first.size)
    }

    // Bounds the memory; what is forgotten is computed again.
    private fun <T> remembered(values: HashMap<TenantName, T>, tenant: TenantName, compute: () -> T): T {
        if (values.size >= REMEMBERED_TENANTS && tenant !in values) values.clear()
        return values.getOrPut(tenant, compute)
    }

    override fun equals(other: Any?): Boolean = other is OwnerChoice && proxies == other.proxies

    override fun hashCode(): Int = proxies.hashCode()

    override fun toString(): String = "OwnerChoice(${proxies.size} proxies)"

    private companion object {
        const val REMEMBERED_TENANTS = 2_000
    }
}
