package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/**
 * Tries to reach peers that are considered gone, so that a fleet that was partitioned reconnects even if the platform
 * is down. Removes peers that have been gone for longer than any expected network failure.
 */
internal class PeerReconnection(private val context: StepContext) {
    /** Pings one random gone peer. The ping carries that condition, and the peer refutes it if it is alive. */
    fun periodFired(state: ProxyState): Step =
        if (state.membership.protocol.periodCount % RECONNECTION_PERIODS == 0L) {
            val remaining = removeExpired(state)
            val gone = remaining.membership.peers.values.filter { it.condition == PeerCondition.GONE }
            val chosen = gone.randomOrNull(context.randomFor("reconnection"))
            if (chosen == null) Step(remaining) else Pings(context).sendUpdates(remaining, chosen.node)
        } else {
            Step(state)
        }

    private fun removeExpired(state: ProxyState): ProxyState {
        val expired =
            state.membership.peers.values.filter {
                it.condition == PeerCondition.GONE && context.now - it.conditionSince > RETENTION
            }
        return state.withMembership {
            copy(peers = expired.fold(peers) { map, peer -> map.remove(peer.node.peerEndpoint) })
        }
    }

    private companion object {
        /** One attempt every two seconds costs little and reconnects every process soon after a long partition. */
        const val RECONNECTION_PERIODS = 4L

        /** Longer than the network failures of an hour that occur occasionally between regions. */
        val RETENTION: Millis = (4 * 60 * 60).seconds
    }
}
