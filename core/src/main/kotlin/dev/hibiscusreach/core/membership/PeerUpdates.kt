package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Applies gossip entries to the view of the members and emits the resulting effects and signals. */
internal class PeerUpdates(private val context: StepContext) {
    /** Applies [updates] in order and ignores outdated ones; [disseminate] queues the applied ones for other peers. */
    fun apply(state: ProxyState, updates: List<PeerUpdate>, disseminate: Boolean = true): Step {
        val step = updates.fold(Step(state)) { step, update -> step.then { apply(it, update, disseminate) } }
        return step.copy(signals = step.signals.distinct())
    }

    /** Records that this process suspects [peer] or considers it gone. */
    fun declare(state: ProxyState, peer: Peer, condition: PeerCondition): Step =
        apply(state, listOf(peer.toUpdate().copy(condition = condition)))

    private fun apply(state: ProxyState, update: PeerUpdate, disseminate: Boolean): Step {
        val membership = state.membership
        val known = membership.peers[update.node.peerEndpoint]
        return when {
            update.node == membership.self -> refute(state, update)
            update.node.peerEndpoint == membership.self.peerEndpoint -> Step(state)
            known == null && update.condition == PeerCondition.GONE -> Step(state)
            known == null || known.isSupersededBy(update) -> change(state, known, update, disseminate)
            else -> Step(state)
        }
    }

    private fun refute(state: ProxyState, update: PeerUpdate): Step {
        val membership = state.membership
        val contested = update.condition == PeerCondition.SUSPECTED || update.condition == PeerCondition.GONE
        val ownCondition = membership.selfUpdate().condition
        val needsRefutation = update.refutation > membership.refutation ||
            update.refutation == membership.refutation && (contested || update.condition > ownCondition)
        return if (needsRefutation) {
            val raised = state.withMembership { copy(refutation = update.refutation + 1) }
            Step(raised, listOf(log(LogLevel.WARN, "refuted a report about this process", update)))
        } else {
            Step(state)
        }
    }

    private fun change(state: ProxyState, known: Peer?, update: PeerUpdate, disseminate: Boolean): Step {
        val peer = Peer.of(update, known, context.now)
        val next =
            state.withMembership {
                copy(
                    peers = peers.put(peer.node.peerEndpoint, peer),
                    protocol = protocol.withNewTarget(known, peer).withPendingUpdate(peer, disseminate, peers.size + 1),
                )
            }
        return Step(next, effects(state, known, peer), signals(known, peer))
    }

    private fun effects(state: ProxyState, known: Peer?, peer: Peer): List<Effect> =
        buildList {
            if (known != null && known.condition == PeerCondition.SUSPECTED) {
                add(Effect.CancelTimer(TimerKey.SuspicionTimeout(known.node)))
            }
            if (peer.condition == PeerCondition.SUSPECTED) {
                val delay = state.settings.membership.suspicionTimeout
                add(Effect.StartTimer(TimerKey.SuspicionTimeout(peer.node), delay))
            }
            if (peer.condition == PeerCondition.GONE) {
                add(Effect.Count(CounterName.PEERS_LOST, label = peer.failureDomain.value))
            }
            if (known == null || known.node != peer.node || known.condition != peer.condition) {
                add(log(LogLevel.INFO, "peer changed", peer.toUpdate()))
            }
        }

    private fun signals(known: Peer?, peer: Peer): List<Signal> =
        buildList {
            if (known != null && known.node != peer.node && known.condition != PeerCondition.GONE) {
                add(Signal.PeerGone(known.node))
            }
            val wasGone = known != null && known.node == peer.node && known.condition == PeerCondition.GONE
            if (wasGone || peer.condition == PeerCondition.GONE) {
                add(Signal.PeerGone(peer.node))
            }
            if (known?.copy(refutation = peer.refutation, conditionSince = peer.conditionSince) != peer) {
                add(Signal.MembershipChanged)
            }
        }

    private fun ProtocolState.withNewTarget(known: Peer?, peer: Peer): ProtocolState {
        val isNew = known == null || known.condition == PeerCondition.GONE
        return if (isNew && peer.condition != PeerCondition.GONE) {
            val position = context.randomFor("rotation/${peer.node}").nextInt(remainingTargets.size + 1)
            copy(remainingTargets = remainingTargets.add(position, peer.node.peerEndpoint))
        } else {
            this
        }
    }

    private fun ProtocolState.withPendingUpdate(peer: Peer, disseminate: Boolean, fleetSize: Int): ProtocolState =
        if (disseminate) {
            copy(pendingUpdates = pendingUpdates.put(peer.node.peerEndpoint, Piggyback.repetitions(fleetSize)))
        } else {
            this
        }

    private fun log(level: LogLevel, message: String, update: PeerUpdate): Effect.Log =
        Effect.Log(
            level,
            message,
            mapOf(
                "peer" to update.node.toString(),
                "domain" to update.failureDomain.value,
                "condition" to update.condition.name,
                "refutation" to update.refutation.toString(),
            ),
        )
}
