package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.RendezvousHash

/** Which processes of a failure domain talk to the platform on behalf of the whole domain. */
object Watchers {
    /** The watchers of [domain], first one first. */
    fun of(state: ProxyState, domain: FailureDomainName): List<NodeIdentity> =
        RendezvousHash
            .rank("watchers/$domain", state.membership.takingWork(domain)) { it.peerEndpoint }
            .take(state.settings.membership.watchersPerFailureDomain)

    /** Whether this process is a watcher of its own failure domain. */
    fun isWatcher(state: ProxyState): Boolean = state.settings.self in of(state, state.settings.failureDomain)
}
