package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext
import kotlinx.collections.immutable.toPersistentList

/** Finds peers that do not answer: direct ping, pings through other peers, suspicion, gone. */
internal class FailureDetector(private val context: StepContext) {
    private val pings = Pings(context)
    private val updates = PeerUpdates(context)

    /** Pings the next peer of the round. */
    fun probeNext(state: ProxyState): Step {
        val round = if (state.membership.protocol.rotation.isEmpty()) state.startRound() else state
        val rotation = round.membership.protocol.rotation
        val position = rotation.indexOfLast { round.membership.livePeer(it) != null }
        val target = rotation.getOrNull(position)?.let(round.membership::livePeer)
        val rest = round.withProtocol { copy(rotation = rotation.subList(0, maxOf(position, 0)).toPersistentList()) }
        return if (target == null) Step(rest) else pings.probe(rest, target.node)
    }

    /** Handles the link to [node] having failed: asks others at once instead of waiting for a ping to time out. */
    fun unreachable(state: ProxyState, node: NodeIdentity): Step {
        val membership = state.membership
        val peer = membership.livePeer(node.peerEndpoint)?.takeIf { it.node == node }
        val open = membership.protocol.probes.entries.find { it.value is Probe.Own && it.value.target == node }
        val probe = open?.value as? Probe.Own
        return when {
            peer == null || peer.condition == PeerCondition.SUSPECTED -> Step(state)
            probe == null && membership.protocol.isBusy -> Step(state)
            probe == null -> probeEverywhere(state, node)
            probe.indirect -> Step(state)
            else -> askOthers(state, open.key, probe)
        }
    }

    /** Handles the wait for the acknowledgement of [sequence] having ended. */
    fun timedOut(state: ProxyState, sequence: Long): Step {
        val probe = state.membership.protocol.probes[sequence]
        val dropped = state.withProtocol { copy(probes = probes.remove(sequence)) }
        val peer = probe?.let { state.membership.livePeer(it.target.peerEndpoint) }?.takeIf { it.node == probe.target }
        return when {
            probe !is Probe.Own || peer == null || peer.condition == PeerCondition.SUSPECTED -> Step(dropped)
            isLate(state, probe) -> Step(dropped)
            !probe.indirect -> askOthers(state, sequence, probe)
            else -> suspect(dropped, peer)
        }
    }

    /** Handles the suspicion of [node] having run out. */
    fun suspicionEnded(state: ProxyState, node: NodeIdentity): Step {
        val peer = state.membership.peers[node.peerEndpoint]
        return if (peer != null && peer.node == node && peer.condition == PeerCondition.SUSPECTED) {
            updates.declare(state, peer, PeerCondition.GONE)
        } else {
            Step(state)
        }
    }

    private fun probeEverywhere(state: ProxyState, node: NodeIdentity): Step {
        val sequence = state.membership.protocol.nextSequence
        return pings
            .probe(state, node)
            .then { askOthers(it, sequence, Probe.Own(node, context.now)) }
    }

    private fun askOthers(state: ProxyState, sequence: Long, probe: Probe.Own): Step {
        val recorded =
            state.withProtocol {
                copy(probes = probes.put(sequence, probe.copy(indirect = true, sentAt = context.now)))
            }
        val timer = Effect.StartTimer(TimerKey.PingTimeout(sequence), state.settings.membership.pingTimeout)
        return Step(recorded, requests(state, sequence, probe.target) + timer)
    }

    private fun requests(state: ProxyState, sequence: Long, target: NodeIdentity): List<Effect> =
        Helpers.choose(state, target, context).map {
            Effect.SendPeerMessage(it.node, PeerMessage.IndirectPing(sequence, target))
        }

    // The suspicion is sent to the peer on several paths, so that a peer that is merely slow can refute it in time.
    private fun suspect(state: ProxyState, peer: Peer): Step {
        val helpers = Helpers.choose(state, peer.node, context)
        return (listOf(peer) + helpers)
            .fold(updates.declare(state, peer, PeerCondition.SUSPECTED)) { step, receiver ->
                step.then { pings.notify(it, receiver.node) }
            }.then { Step(it, requests(it, it.membership.protocol.nextSequence, peer.node)) }
            .then { Step(it.withProtocol { copy(nextSequence = nextSequence + 1) }) }
    }

    // After a pause of this process the acknowledgement may wait unread; the peer is not to blame.
    private fun isLate(state: ProxyState, probe: Probe.Own): Boolean {
        val settings = state.settings.membership
        return context.now - probe.sentAt > settings.pingTimeout + settings.pauseThreshold
    }

    private fun ProxyState.startRound(): ProxyState {
        val order: List<Endpoint> = membership.livePeers().map { it.node.peerEndpoint }
        return withProtocol { copy(rotation = order.shuffled(context.randomFor("round")).toPersistentList()) }
    }
}
