package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Answers pings, matches acknowledgements to probes and applies the updates that both carry. */
internal class GossipExchange(private val context: StepContext) {
    private val pings = Pings(context)
    private val updates = PeerUpdates(context)
    private val urgentGossip = UrgentGossip(context)

    /** Handles the introduction of a process on a new link. */
    fun introduced(state: ProxyState, update: PeerUpdate): Step =
        applyUpdates(state, listOf(update), disseminate = true)
            .then {
                // If the peer is considered gone, the ping carries this update, so that the peer can refute it.
                if (it.membership.isLive(update.node)) {
                    pings.probe(it, update.node)
                } else {
                    pings.sendUpdates(it, update.node)
                }
            }

    /** Answers the ping of [from]. */
    fun pinged(state: ProxyState, from: NodeIdentity, ping: PeerMessage.Ping): Step =
        applyUpdates(state, ping.updates, disseminate = true)
            .then { pings.acknowledge(it, from, ping.sequence, fullView = ping.wantsView) }

    /** Completes the probe that the acknowledgement answers, and relays it if another node requested the ping. */
    fun acknowledged(state: ProxyState, from: NodeIdentity, message: PeerMessage.Acknowledgement): Step {
        val probe = state.membership.protocol.probes[message.sequence]
        val matches = probe != null && probe.target == (message.target ?: from)
        val answersView = matches && probe is Probe.Own && probe.wantsView && message.target == null
        val completed = if (matches) completeProbe(state, message.sequence, answersView) else Step(state)
        return completed
            .then { applyUpdates(it, message.updates, disseminate = !answersView) }
            .then { if (isRefuting(state, it)) pings.sendUpdates(it, from) else Step(it) }
            .then { if (matches && probe is Probe.Relayed) relayAcknowledgement(it, probe) else Step(it) }
    }

    /** Pings the target of [request] on behalf of [requester], unless too many probes are outstanding. */
    fun pingRequested(state: ProxyState, requester: NodeIdentity, request: PeerMessage.IndirectPing): Step =
        if (state.membership.protocol.isBusy) {
            Step(state)
        } else {
            pings.startProbe(state, Probe.Relayed(request.target, requester, request.sequence))
        }

    private fun completeProbe(state: ProxyState, sequence: Long, answersView: Boolean): Step =
        Step(
            state.withProtocol {
                copy(probes = probes.remove(sequence), fullViewNeeded = fullViewNeeded && !answersView)
            },
            listOf(Effect.CancelTimer(TimerKey.PingTimeout(sequence))),
        )

    private fun relayAcknowledgement(state: ProxyState, probe: Probe.Relayed): Step =
        pings.acknowledge(state, probe.requester, probe.requesterSequence, target = probe.target)

    private fun applyUpdates(state: ProxyState, received: List<PeerUpdate>, disseminate: Boolean): Step {
        val applied = updates.apply(state, received, disseminate)
        val isUrgent = received.any { isUrgent(state.membership, applied.state.membership, it) }
        return when {
            isRefuting(state, applied.state) -> applied.then { urgentGossip.sendToRandomPeers(it) }
            isUrgent -> applied.then { urgentGossip.forward(it) }
            else -> applied
        }
    }

    private fun isRefuting(before: ProxyState, after: ProxyState): Boolean =
        after.membership.refutation > before.membership.refutation

    // A draining peer must stop getting work within a few round trips, and a refutation must outrun the suspicion.
    private fun isUrgent(before: MembershipState, after: MembershipState, update: PeerUpdate): Boolean {
        val earlier = before.peers[update.node.peerEndpoint]
        val later = after.peers[update.node.peerEndpoint]
        val startsDraining = earlier?.draining == false && later?.draining == true
        val isRefuted = earlier?.condition == PeerCondition.SUSPECTED && later?.condition == PeerCondition.ALIVE
        return startsDraining || isRefuted
    }
}
