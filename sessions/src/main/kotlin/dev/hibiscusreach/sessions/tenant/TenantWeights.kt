package dev.hibiscusreach.sessions.tenant

import kotlin.math.ceil

/** The weights of the tenants of one configuration, by which they share homes, connections and turns. */
class TenantWeights(tenants: Collection<Tenant>) {
    private val weights: Map<TenantName, Double>

    private val total: Double

    /** The tenants by descending weight. */
    val largestFirst: List<TenantName>

    init {
        val rates = tenants.mapNotNull { it.allowance?.ratePerSecond }
        val largest = maxOf(MIN_WEIGHT, rates.maxOrNull() ?: MIN_WEIGHT)
        weights = tenants.associate { it.name to maxOf(MIN_WEIGHT, it.allowance?.ratePerSecond ?: largest) }
        total = weights.values.sum()
        largestFirst = weights.keys.sortedWith(compareByDescending<TenantName> { weights[it] }.thenBy { it })
    }

    /**
     * Operations per second that the tenant may start, at least 1. A tenant without a limit weighs as much as the
     * largest one. Statements of public routes, and of a tenant that the configuration has no longer, weigh 1.
     */
    fun weight(tenant: TenantName?): Double = weights[tenant] ?: MIN_WEIGHT

    /** How many of [homes] serve the tenant: its share of all weights, rounded up. */
    fun homes(tenant: TenantName, homes: Int): Int {
        val share = if (total > 0) weight(tenant) / total else 0.0
        return ceil(share * homes).toInt().coerceIn(minOf(1, homes), homes)
    }

    private companion object {
        const val MIN_WEIGHT = 1.0
    }
}
