package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.RendezvousHash

/** Determines which process lends a failure domain's permits of a caller, and how many the domain has. */
internal object PermitHomes {
    /** The permit home of [caller] in [domain], or null if no process of the domain accepts work. */
    fun home(state: ProxyState, caller: CallerName, domain: FailureDomainName): NodeIdentity? =
        RendezvousHash.first(hashKey(caller), state.membership.nodesAcceptingWork(domain)) { it.peerEndpoint }

    /** The process that would be this failure domain's permit home without this process, or null if it is alone. */
    fun predecessor(state: ProxyState, caller: CallerName): NodeIdentity? {
        val others = state.membership.nodesAcceptingWork(state.settings.failureDomain) - state.settings.self
        return RendezvousHash.first(hashKey(caller), others) { it.peerEndpoint }
    }

    /** This failure domain's share of the caller's connection limit. The shares of all domains add up to the limit. */
    fun share(state: ProxyState, caller: CallerName): Int {
        val index = state.configuration.index
        val domains = index.failureDomains.map { it.name }
        val ownIndex = domains.indexOf(state.settings.failureDomain)
        val isKnown = index.hasCaller(caller) && ownIndex >= 0
        return if (isKnown) shareOfLimit(index.rule(caller).connectionLimit, domains.size, ownIndex, caller) else 0
    }

    // The remainder starts at a different domain for each caller, so that small limits are not all given to one domain.
    private fun shareOfLimit(limit: Int, domains: Int, ownIndex: Int, caller: CallerName): Int {
        val offset = Math.floorMod(caller.value.hashCode(), domains)
        val rank = Math.floorMod(ownIndex - offset, domains)
        return limit / domains + if (rank < limit % domains) 1 else 0
    }

    private fun hashKey(caller: CallerName): String = "permits/${caller.value}"
}
