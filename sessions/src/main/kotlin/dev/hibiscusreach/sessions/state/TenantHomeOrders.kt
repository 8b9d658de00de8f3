package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.tenant.TenantDirectory
import dev.hibiscusreach.sessions.tenant.TenantName

/** The homes that accept statements of one tenant for one group, as seen by one proxy. */
internal data class TenantHomeOrder(
    /** The homes that serve the tenant as long as they can be reached, in order. */
    val preferred: List<FleetRecord.Proxy>,
    /** The homes that take their place, in order. */
    val others: List<FleetRecord.Proxy>,
)

/** Computes each order once for the fleet records that it belongs to and one directory of tenants. */
internal class TenantHomeOrders {
    private var directory: TenantDirectory? = null
    private val orders = HashMap<Pair<GroupName, TenantName>, TenantHomeOrder>()

    /** The order for [tenant] by [current], from [compute] if it is not known yet. */
    fun order(
        current: TenantDirectory,
        group: GroupName,
        tenant: TenantName,
        compute: () -> TenantHomeOrder,
    ): TenantHomeOrder {
        if (directory !== current || orders.size >= MAX_ORDERS) orders.clear()
        directory = current
        return orders.getOrPut(group to tenant, compute)
    }

    private companion object {
        /** Bounds the memory to about 2 MB with 40 homes of each group; computing an order again is cheap. */
        const val MAX_ORDERS = 4_096
    }
}
