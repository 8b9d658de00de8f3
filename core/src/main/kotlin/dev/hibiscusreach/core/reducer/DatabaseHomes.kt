package dev.hibiscusreach.core.reducer

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity

/**
 * Which process is the home of a database in a failure domain. The home monitors the group, holds the domain's share of
 * the connections to its servers, and routes requests.
 */
object DatabaseHomes {
    private const val RESERVE_DIVISOR = 10

    /** The failure domains in which [group] has servers, and so has a home. */
    fun domains(group: DatabaseGroup): List<FailureDomainName> = group.servers.map { it.failureDomain }.distinct()

    /** The home of [group] in [domain], or null if no process of the domain takes work. */
    fun home(state: ProxyState, group: DatabaseGroup, domain: FailureDomainName): NodeIdentity? =
        if (domain in domains(group)) {
            RendezvousHash.first(group.name.value, state.membership.takingWork(domain)) { it.peerEndpoint }
        } else {
            null
        }

    /** Whether this process is the home of [group] in its own failure domain. */
    fun isHome(state: ProxyState, group: DatabaseGroup): Boolean =
        home(state, group, state.settings.failureDomain) == state.settings.self

    /** The home to which this process forwards requests for [group]: own domain first, then own region, then any. */
    fun nearest(state: ProxyState, group: DatabaseGroup): NodeIdentity? {
        val index = state.configuration.index
        val ownDomain = state.settings.failureDomain
        val ownRegion = index.region(ownDomain)
        return domains(group)
            .sortedBy { if (it == ownDomain) 0 else if (index.region(it) == ownRegion) 1 else 2 }
            .firstNotNullOfOrNull { home(state, group, it) }
    }

    /** The number of connections to [server] that belong to the home in [domain]. */
    fun connectionShare(group: DatabaseGroup, server: BackendServer, domain: FailureDomainName): Int {
        val otherDomains = domains(group).count { it != server.failureDomain }
        val reserve = reserve(server, otherDomains)
        return if (domain == server.failureDomain) server.connectionLimit - reserve * otherDomains else reserve
    }

    // If the limit is too small for a reserve in every domain there is none, so that the sum stays within the limit.
    private fun reserve(server: BackendServer, otherDomains: Int): Int {
        val wanted = maxOf(1, server.connectionLimit / RESERVE_DIVISOR)
        return if (wanted * otherDomains < server.connectionLimit) wanted else 0
    }
}
