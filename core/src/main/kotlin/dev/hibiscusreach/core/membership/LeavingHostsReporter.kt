package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Distributes the leaving hosts of the platform's list from the watchers to all processes of the failure domain. */
internal class LeavingHostsReporter(private val context: StepContext) {
    /** Records the leaving hosts among [hosts], which this process read, and reports them to the failure domain. */
    fun read(state: ProxyState, hosts: List<ListedHost>): Step {
        val leaving = hosts.filter { it.leaving }
        val message =
            PeerMessage.LeavingHostsReported(
                servers = leaving.mapNotNullTo(mutableSetOf()) { it.server },
                proxies = leaving.filter { it.server == null }.mapTo(mutableSetOf()) { it.peerEndpoint },
            )
        val previous = state.membership.leavingHosts.reports[state.settings.self]
        val isUnchangedAndEmpty = leaving.isEmpty() && (previous == null || previous.isEmpty)
        return received(state, state.settings.self, message)
            .then { if (isUnchangedAndEmpty) Step(it) else Step(it, messages(it, message)) }
    }

    /** Records the leaving hosts that [reporter] read. */
    fun received(state: ProxyState, reporter: NodeIdentity, message: PeerMessage.LeavingHostsReported): Step {
        val report = LeavingHostsReport(message.servers, message.proxies, context.now)
        return replace(state, state.membership.leavingHosts.with(reporter, report))
    }

    /** Removes reports that their watcher has not renewed. */
    fun expire(state: ProxyState): Step = replace(state, state.membership.leavingHosts.expire(context.now))

    private fun messages(state: ProxyState, message: PeerMessage): List<Effect> =
        state.membership
            .livePeers()
            .filter { it.failureDomain == state.settings.failureDomain }
            .map { Effect.SendPeerMessage(it.node, message) }

    private fun replace(state: ProxyState, leaving: LeavingHosts): Step {
        val previous = state.membership.leavingHosts
        return Step(
            state.withMembership { copy(leavingHosts = leaving) },
            signals =
            listOfNotNull(
                Signal.LeavingServersListed(leaving.servers).takeIf { leaving.servers != previous.servers },
                Signal.MembershipChanged.takeIf { leaving.proxies != previous.proxies },
            ),
        )
    }
}
