package dev.hibiscusreach.core.reducer

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity

/**
 * Selects the home node of a database in each failure domain. The home node monitors the database group, owns the
 * domain's share of the connections to its servers, and routes requests.
 */
object DatabaseHomes {
    private const val RESERVE_DIVISOR = 10

    /** The failure domains in which [group] has servers; each of them has a home node for the group. */
    fun domains(group: DatabaseGroup): List<FailureDomainName> = group.servers.map { it.failureDomain }.distinct()

    /** The home node of [group] in [domain], or null if no process of the domain accepts work. */
    fun home(state: ProxyState, group: DatabaseGroup, domain: FailureDomainName): NodeIdentity? =
        if (domain in domains(group)) {
            RendezvousHash.first(group.name.value, state.membership.takingWork(domain)) { it.peerEndpoint }
        } else {
            null
        }

    /** Whether this process is the home node of [group] in its own failure domain. */
    fun isHome(state: ProxyState, group: DatabaseGroup): Boolean =
        home(state, group, state.settings.failureDomain) == state.settings.self

    /** The home node that gets forwarded requests for [group]: in the own domain, else the own region, else any. */
    fun nearest(state: ProxyState, group: DatabaseGroup): NodeIdentity? {
        val index = state.configuration.index
        val ownDomain = state.settings.failureDomain
        val ownRegion = index.region(ownDomain)
        return domains(group)
            .sortedBy { if (it == ownDomain) 0 else if (index.region(it) == ownRegion) 1 else 2 }
            .firstNotNullOfOrNull { home(state, group, it) }
    }

    /** The number of connections to [server] that the home node in [domain] may open. */
    fun connectionShare(group: DatabaseGroup, server: BackendServer, domain: FailureDomainName): Int {
        val otherDomains = domains(group).count { it != server.failureDomain }
        val reserve = reserve(server, otherDomains)
        return if (domain == server.failureDomain) server.connectionLimit - reserve * otherDomains else reserve
    }

    // A limit that is too small for a reserve in every domain gets none, so that the sum stays within the limit.
    private fun reserve(server: BackendServer, otherDomains: Int): Int {
        val wanted = maxOf(1, server.connectionLimit / RESERVE_DIVISOR)
        return if (wanted * otherDomains < server.connectionLimit) wanted else 0
    }
}
