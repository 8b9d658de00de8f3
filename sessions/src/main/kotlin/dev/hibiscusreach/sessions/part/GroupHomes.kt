package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.reducer.RendezvousHash
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName

/** The homes of groups: the proxies that may use a group's servers. */
internal object GroupHomes {
    /** Distances of a home from this proxy, nearest first. */
    private const val SAME_DOMAIN = 0
    private const val SAME_REGION = 1

    /** Distance of a home in another region. */
    const val OTHER_REGION = 2

    /** This proxy's own record; null unless it is registered. */
    fun ownRecord(reduction: Reduction): FleetRecord.Proxy? {
        val self = reduction.state.self.identity
        return reduction.state.fleet.members[FleetKey.proxy(self.node)]?.takeIf { it.identity == self }
    }

    /**
     * Whether this proxy may use the servers of [group]: its own record names the group, so that every change of the
     * group's primary waits for this proxy, and it has not stopped using them.
     */
    fun isHome(reduction: Reduction, group: GroupName): Boolean =
        group !in reduction.state.fleet.roles.retired && ownRecord(reduction)?.isHomeOf(group) == true

    /** The other homes of [group], leaving ones included. */
    fun others(reduction: Reduction, group: GroupName): List<FleetRecord.Proxy> =
        reduction.state.fleet.records
            .homes(group)
            .filter { it.identity.node != reduction.state.self.identity.node }

    /** The peer endpoints of the other homes of [group]. */
    fun otherEndpoints(reduction: Reduction, group: GroupName): Set<Endpoint> =
        others(reduction, group).map { it.peerEndpoint }.toSet()

    /** [candidates] in the order in which they become homes of [group] in their failure domain. */
    fun ranked(group: GroupName, candidates: Collection<Endpoint>): List<Endpoint> =
        RendezvousHash.rank("home/${group.value}", candidates) { it }

    /** The other homes that accept statements of [group], the preferred one first. */
    fun accepting(reduction: Reduction, group: GroupName, excluded: Set<Endpoint>): List<Endpoint> {
        val homes = others(reduction, group).filter { !it.leaving && it.peerEndpoint !in excluded }
        val ranks = ranked(group, homes.map { it.peerEndpoint }).withIndex().associate { it.value to it.index }
        return homes
            .sortedWith(
                compareBy(
                    { isAvoided(reduction, it.peerEndpoint) },
                    { distance(reduction, it) },
                    { ranks.getValue(it.peerEndpoint) },
                ),
            ).map { it.peerEndpoint }
    }

    /** Whether statements should go to other homes than [home] for now. */
    fun isAvoided(reduction: Reduction, home: Endpoint): Boolean {
        val failedAt = reduction.state.fleet.unreachableHomes[home]
        val failedLately = failedAt != null && reduction.now - failedAt < reduction.settings.homes.avoidance
        return failedLately || (reduction.state.fleet.peers[home]?.misses ?: 0) > 0
    }

    /** The distance of [home] from this proxy. */
    fun distance(reduction: Reduction, home: FleetRecord.Proxy): Int = distance(reduction, home.failureDomain)

    /** How far a proxy in [failureDomain] is from this one; smaller is nearer. */
    fun distance(reduction: Reduction, failureDomain: FailureDomainName?): Int {
        val self = reduction.state.self
        val region = failureDomain?.let { self.regions[it] }
        return when {
            failureDomain == self.failureDomain -> SAME_DOMAIN
            region != null && region == self.regions[self.failureDomain] -> SAME_REGION
            else -> OTHER_REGION
        }
    }
}
