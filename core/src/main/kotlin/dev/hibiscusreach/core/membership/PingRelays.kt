package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.StepContext

/** Chooses the peers that are asked for indirect pings of another one. */
internal object PingRelays {
    /** Random peers to ping [target], if possible of different failure domains, because these fail independently. */
    fun choose(state: ProxyState, target: NodeIdentity, context: StepContext): List<Peer> {
        val candidates =
            state.membership
                .livePeers()
                .filter { it.node != target && it.condition != PeerCondition.SUSPECTED }
                .shuffled(context.randomFor("helpers/$target"))
        return candidates
            .groupBy { it.failureDomain }
            .values
            .flatMap { peers -> peers.withIndex() }
            .sortedBy { it.index }
            .map { it.value }
            .take(state.settings.membership.indirectPings)
    }
}
