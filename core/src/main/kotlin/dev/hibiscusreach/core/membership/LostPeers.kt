package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/**
 * Tries to reach peers that are taken for gone, so that parts of the fleet that were separated find each other again
 * even if the platform is down. Forgets them when no network failure lasts that long.
 */
internal class LostPeers(private val context: StepContext) {
    /** Pings one peer that is taken for gone; the ping tells it so, and it refutes that if it is alive. */
    fun periodFired(state: ProxyState): Step =
        if (state.membership.protocol.periods % RECONNECTION_PERIODS == 0L) {
            val remaining = forget(state)
            val gone = remaining.membership.peers.values.filter { it.condition == PeerCondition.GONE }
            val chosen = gone.randomOrNull(context.randomFor("reconnection"))
            if (chosen == null) Step(remaining) else Pings(context).notify(remaining, chosen.node)
        } else {
            Step(state)
        }

    private fun forget(state: ProxyState): ProxyState {
        val expired =
            state.membership.peers.values.filter {
                it.condition == PeerCondition.GONE && context.now - it.conditionSince > RETENTION
            }
        return state.withMembership {
            copy(peers = expired.fold(peers) { map, peer -> map.remove(peer.node.peerEndpoint) })
        }
    }

    private companion object {
        /** One attempt every two seconds costs little and reconnects every process soon after a long separation. */
        const val RECONNECTION_PERIODS = 4L

        /** Longer than the hour for which regions lose their connection occasionally. */
        val RETENTION: Millis = (4 * 60 * 60).seconds
    }
}
