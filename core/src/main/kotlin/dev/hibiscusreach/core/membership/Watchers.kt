package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.RendezvousHash

/** Determines the watchers: the processes of a failure domain that call the platform on behalf of the whole domain. */
object Watchers {
    /** The watchers of [domain], in the order of their rendezvous hash. */
    fun of(state: ProxyState, domain: FailureDomainName): List<NodeIdentity> =
        RendezvousHash
            .rank("watchers/$domain", state.membership.nodesAcceptingWork(domain)) { it.peerEndpoint }
            .take(state.settings.membership.watchersPerFailureDomain)

    /** Whether this process is a watcher of its own failure domain. */
    fun isWatcher(state: ProxyState): Boolean = state.settings.self in of(state, state.settings.failureDomain)
}
