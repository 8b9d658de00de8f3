package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.reducer.RendezvousHash
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.TenantHomeOrder
import dev.hibiscusreach.sessions.tenant.TenantDirectory
import dev.hibiscusreach.sessions.tenant.TenantName

/**
 * The homes of groups by tenant. Each home has few connections to a server, so that nearly every operation would open
 * one if all tenants came to all homes. The order follows from the configuration and the fleet records alone.
 */
internal object TenantHomes {
    /** The other homes that accept statements of [tenant] for [group], the preferred one first. */
    fun accepting(reduction: Reduction, group: GroupName, tenant: TenantName, excluded: Set<Endpoint>): List<Endpoint> {
        val order = order(reduction, group, tenant)
        return (order.preferred + order.others)
            .map { it.peerEndpoint }
            .filter { it != reduction.state.self.peerEndpoint && it !in excluded }
            .sortedBy { GroupHomes.isAvoided(reduction, it) }
    }

    /** Whether another home is preferred for [tenant] and can be used. This proxy is a home of [group] itself. */
    fun isPreferredElsewhere(
        reduction: Reduction,
        group: GroupName,
        tenant: TenantName,
        excluded: Set<Endpoint>,
    ): Boolean {
        val preferred = order(reduction, group, tenant).preferred.map { it.peerEndpoint }
        return reduction.state.self.peerEndpoint !in preferred &&
            preferred.any { it !in excluded && !GroupHomes.isAvoided(reduction, it) }
    }

    /** The largest tenant that prefers this home of [group], or the largest of all; null if there are no tenants. */
    fun largestTenant(reduction: Reduction, group: GroupName): TenantName? {
        val self = reduction.state.self.peerEndpoint
        val tenants = reduction.state.configuration?.tenants?.weights?.largestFirst.orEmpty()
        val own = tenants.find { tenant -> order(reduction, group, tenant).preferred.any { it.peerEndpoint == self } }
        return own ?: tenants.firstOrNull()
    }

    private fun order(reduction: Reduction, group: GroupName, tenant: TenantName): TenantHomeOrder {
        val records = reduction.state.fleet.records
        val directory = reduction.state.configuration?.tenants ?: NO_TENANTS
        return records.tenantHomes.order(directory, group, tenant) { compute(reduction, directory, group, tenant) }
    }

    private fun compute(
        reduction: Reduction,
        directory: TenantDirectory,
        group: GroupName,
        tenant: TenantName,
    ): TenantHomeOrder {
        val homes = reduction.state.fleet.records.homes(group).filter { !it.leaving }
        val ranked = RendezvousHash.rank("home/${group.value}/${tenant.value}", homes) { it.peerEndpoint }
        val (near, far) = ranked.partition { GroupHomes.distance(reduction, it) != GroupHomes.OTHER_REGION }
        val (first, last) = if (near.isEmpty()) far to near else near to far
        val count = directory.weights.homes(tenant, first.size)
        return TenantHomeOrder(
            preferred = nearestFirst(reduction, group, tenant, first.take(count)),
            others = first.drop(count) + last,
        )
    }

    // Homes in the same failure domain come first. Among equally near ones, every proxy has an order of its own, so
    // that the tenant's load is spread.
    private fun nearestFirst(
        reduction: Reduction,
        group: GroupName,
        tenant: TenantName,
        homes: List<FleetRecord.Proxy>,
    ): List<FleetRecord.Proxy> {
        if (homes.size <= 1) return homes
        val key = "near/${group.value}/${tenant.value}/${reduction.state.self.peerEndpoint}"
        return RendezvousHash.rank(key, homes) { it.peerEndpoint }.sortedBy { GroupHomes.distance(reduction, it) }
    }

    /** Stands for a configuration that has no tenants any more, while a transaction of one is still open. */
    private val NO_TENANTS = TenantDirectory(emptyMap(), emptyMap())
}
