package dev.hibiscusreach.sessions.tenant

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.ceil

/**
 * Start-time fair queueing across tenants. Every operation of a tenant with weight w takes 1/w of virtual time. The
 * operation with the lowest start is served next. A tenant that waits for nothing keeps no credit: its next operation
 * starts no earlier than the operation that was served last. The null tenant stands for operations without a tenant.
 */
data class FairSchedule(
    /** Start of the operation that was served last. */
    val virtualTime: Double = 0.0,
    /** End of the latest operation of each tenant, unless [virtualTime] has passed it. */
    val ends: PersistentMap<TenantName?, Double> = persistentMapOf(),
) {
    /** Start of the tenant's next operation behind [ahead] of its own. */
    fun start(tenant: TenantName?, weight: Double, ahead: Int = 0): Double =
        maxOf(virtualTime, ends[tenant] ?: virtualTime) + ahead / weight

    /** The schedule after an operation of [tenant] was served. */
    fun served(tenant: TenantName?, weight: Double): FairSchedule {
        val start = start(tenant, weight)
        val now = maxOf(virtualTime, start)
        val next =
            ends.mutate { ends ->
                ends[tenant] = start + 1 / weight
                ends.values.removeIf { it <= now }
            }
        return FairSchedule(now, next)
    }

    /** Merges the queues of the tenants into the order of service. Each queue keeps its own order. */
    fun <T> order(queues: Map<TenantName?, List<T>>, weights: (TenantName?) -> Double): List<T> =
        queues
            .flatMap { (tenant, queue) ->
                queue.mapIndexed { index, item -> Turn(start(tenant, weights(tenant), index), tenant, item) }
            }.sortedWith(compareBy({ it.start }, { -weights(it.tenant) }, { it.tenant?.value }))
            .map { it.item }

    /**
     * The number of operations that are served before the next one of [tenant], which has [own] operations of its own
     * ahead. [waiting] are the numbers of waiting operations of all tenants.
     */
    fun ahead(
        tenant: TenantName?,
        own: Int,
        waiting: Map<TenantName?, Int>,
        weights: (TenantName?) -> Double,
    ): Int {
        val start = start(tenant, weights(tenant), own)
        val others =
            waiting.filterKeys { it != tenant }.map { (other, count) ->
                val weight = weights(other)
                val earlier = ceil((start - start(other, weight)) * weight).toInt()
                earlier.coerceIn(0, count)
            }
        return own + others.sum()
    }

    private class Turn<T>(val start: Double, val tenant: TenantName?, val item: T)
}
