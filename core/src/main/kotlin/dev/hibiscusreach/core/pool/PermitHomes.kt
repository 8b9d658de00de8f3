package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.RendezvousHash

/** Which process lends a failure domain's permits of a caller, and how many the domain has. */
internal object PermitHomes {
    /** The permit home of [caller] in [domain], or null if no process of the domain takes work. */
    fun home(state: ProxyState, caller: CallerName, domain: FailureDomainName): NodeIdentity? =
        RendezvousHash.first(key(caller), state.membership.nodesAcceptingWork(domain)) { it.peerEndpoint }

    /** The process of this failure domain that would be the permit home without this process. */
    fun predecessor(state: ProxyState, caller: CallerName): NodeIdentity? {
        val others = state.membership.nodesAcceptingWork(state.settings.failureDomain) - state.settings.self
        return RendezvousHash.first(key(caller), others) { it.peerEndpoint }
    }

    /** This failure domain's part of the caller's connection limit. The parts of all domains add up to the limit. */
    fun share(state: ProxyState, caller: CallerName): Int {
        val index = state.configuration.index
        val domains = index.failureDomains.map { it.name }
        val own = domains.indexOf(state.settings.failureDomain)
        val isKnown = index.hasCaller(caller) && own >= 0
        return if (isKnown) part(index.rule(caller).connectionLimit, domains.size, own, caller) else 0
    }

    // The remainder starts at a different domain for each caller, so that small limits do not all end up in one domain.
    private fun part(limit: Int, domains: Int, own: Int, caller: CallerName): Int {
        val offset = Math.floorMod(caller.value.hashCode(), domains)
        val rank = Math.floorMod(own - offset, domains)
        return limit / domains + if (rank < limit % domains) 1 else 0
    }

    private fun key(caller: CallerName): String = "permits/${caller.value}"
}
