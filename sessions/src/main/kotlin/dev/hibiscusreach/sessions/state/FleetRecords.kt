package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.StoredRecord

/** The fleet's records by key. What is derived from them is computed once, because every statement needs it. */
class FleetRecords(private val byKey: Map<FleetKey, StoredRecord>) : Map<FleetKey, StoredRecord> by byKey {
    /** The proxies that are not expelled, by key. */
    val members: Map<FleetKey, FleetRecord.Proxy> by lazy {
        byKey
            .mapNotNull { (key, stored) -> (stored.record as? FleetRecord.Proxy)?.let { key to it } }
            .filter { !it.second.expelled }
            .toMap()
    }

    private val homesByGroup = HashMap<GroupName, List<FleetRecord.Proxy>>()

    /** The proxies that may use the servers of [group], leaving ones included. */
    fun homes(group: GroupName): List<FleetRecord.Proxy> =
        homesByGroup.getOrPut(group) { members.values.filter { it.isHomeOf(group) } }

    /** The homes of groups by tenant. */
    internal val tenantHomes = TenantHomeOrders()

    /** These records if [records] is what they were made of; else new ones. */
    fun updated(records: Map<FleetKey, StoredRecord>): FleetRecords =
        if (records === byKey) this else FleetRecords(records)

    override fun equals(other: Any?): Boolean = other is FleetRecords && byKey == other.byKey

    override fun hashCode(): Int = byKey.hashCode()

    override fun toString(): String = byKey.toString()
}
