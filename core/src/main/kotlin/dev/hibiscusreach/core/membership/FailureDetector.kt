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

/** Detects peers that do not answer: a direct ping is followed by indirect pings, suspicion and the state gone. */
internal class FailureDetector(private val context: StepContext) {
    private val pings = Pings(context)
    private val updates = PeerUpdates(context)

    /** Pings the next peer of the round; a round pings every live peer once, in random order. */
    fun probeNext(state: ProxyState): Step {
        val round = if (state.membership.protocol.remainingTargets.isEmpty()) state.startRound() else state
        val remainingTargets = round.membership.protocol.remainingTargets
        val position = remainingTargets.indexOfLast { round.membership.livePeer(it) != null }
        val target = remainingTargets.getOrNull(position)?.let(round.membership::livePeer)
        val remaining =
            round.withProtocol {
                copy(remainingTargets = remainingTargets.subList(0, maxOf(position, 0)).toPersistentList())
            }
        return if (target == null) Step(remaining) else pings.probe(remaining, target.node)
    }

    /** Handles the failure of the link to [node]: probes it indirectly at once instead of after a ping timeout. */
    fun unreachable(state: ProxyState, node: NodeIdentity): Step {
        val membership = state.membership
        val peer = membership.livePeer(node.peerEndpoint)?.takeIf { it.node == node }
        val open = membership.protocol.probes.entries.find { it.value is Probe.Own && it.value.target == node }
        val probe = open?.value as? Probe.Own
        return when {
            peer == null || peer.condition == PeerCondition.SUSPECTED -> Step(state)
            probe == null && membership.protocol.isBusy -> Step(state)
            probe == null -> probeOnAllPaths(state, node)
            probe.indirect -> Step(state)
            else -> probeIndirectly(state, open.key, probe)
        }
    }

    /** Handles the timeout of the ping with [sequence]. */
    fun timedOut(state: ProxyState, sequence: Long): Step {
        val probe = state.membership.protocol.probes[sequence]
        val dropped = state.withProtocol { copy(probes = probes.remove(sequence)) }
        val peer = probe?.let { state.membership.livePeer(it.target.peerEndpoint) }?.takeIf { it.node == probe.target }
        return when {
            probe !is Probe.Own || peer == null || peer.condition == PeerCondition.SUSPECTED -> Step(dropped)
            isTimerLate(state, probe) -> Step(dropped)
            !probe.indirect -> probeIndirectly(state, sequence, probe)
            else -> suspect(dropped, peer)
        }
    }

    /** Handles the end of the suspicion timeout of [node]. */
    fun suspicionEnded(state: ProxyState, node: NodeIdentity): Step {
        val peer = state.membership.peers[node.peerEndpoint]
        return if (peer != null && peer.node == node && peer.condition == PeerCondition.SUSPECTED) {
            updates.declare(state, peer, PeerCondition.GONE)
        } else {
            Step(state)
        }
    }

    private fun probeOnAllPaths(state: ProxyState, node: NodeIdentity): Step {
        val sequence = state.membership.protocol.nextSequence
        return pings
            .probe(state, node)
            .then { probeIndirectly(it, sequence, Probe.Own(node, context.now)) }
    }

    private fun probeIndirectly(state: ProxyState, sequence: Long, probe: Probe.Own): Step {
        val recorded =
            state.withProtocol {
                copy(probes = probes.put(sequence, probe.copy(indirect = true, sentAt = context.now)))
            }
        val timer = Effect.StartTimer(TimerKey.PingTimeout(sequence), state.settings.membership.pingTimeout)
        return Step(recorded, indirectPings(state, sequence, probe.target) + timer)
    }

    private fun indirectPings(state: ProxyState, sequence: Long, target: NodeIdentity): List<Effect> =
        PingRelays.choose(state, target, context).map {
            Effect.SendPeerMessage(it.node, PeerMessage.IndirectPing(sequence, target))
        }

    // The suspicion is sent to the peer directly and through others, so that a slow peer can refute it in time.
    private fun suspect(state: ProxyState, peer: Peer): Step {
        val relays = PingRelays.choose(state, peer.node, context)
        return (listOf(peer) + relays)
            .fold(updates.declare(state, peer, PeerCondition.SUSPECTED)) { step, receiver ->
                step.then { pings.sendUpdates(it, receiver.node) }
            }.then { Step(it, indirectPings(it, it.membership.protocol.nextSequence, peer.node)) }
            .then { Step(it.withProtocol { copy(nextSequence = nextSequence + 1) }) }
    }

    // If this process handles its timers late, the acknowledgement may have arrived but not been read yet.
    private fun isTimerLate(state: ProxyState, probe: Probe.Own): Boolean =
        context.now - probe.sentAt > state.settings.membership.pingTimeout * 2

    private fun ProxyState.startRound(): ProxyState {
        val order: List<Endpoint> = membership.livePeers().map { it.node.peerEndpoint }
        return withProtocol { copy(remainingTargets = order.shuffled(context.randomFor("round")).toPersistentList()) }
    }
}
