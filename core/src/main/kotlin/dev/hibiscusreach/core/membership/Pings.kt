package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Sends pings and acknowledgements with piggybacked updates. */
internal class Pings(private val context: StepContext) {
    /** Pings [target] and expects an acknowledgement before the ping timeout. */
    fun probe(state: ProxyState, target: NodeIdentity): Step {
        val wantsView = state.membership.protocol.fullViewNeeded && !isViewRequested(state)
        return startProbe(state, Probe.Own(target, context.now, wantsView = wantsView))
    }

    /** Pings the target of [probe] and records the probe under the ping's sequence number. */
    fun startProbe(state: ProxyState, probe: Probe): Step {
        val sequence = state.membership.protocol.nextSequence
        val recorded = state.withProtocol { copy(probes = probes.put(sequence, probe)) }
        val timer = Effect.StartTimer(TimerKey.PingTimeout(sequence), state.settings.membership.pingTimeout)
        return send(recorded, probe.target, probe).withEffects(timer)
    }

    /** Sends updates to [receiver] in a ping whose acknowledgement is not awaited. */
    fun sendUpdates(state: ProxyState, receiver: NodeIdentity): Step = send(state, receiver, probe = null)

    /** Acknowledges the ping with [sequence]; [target] is set if the acknowledgement of another node is relayed. */
    fun acknowledge(
        state: ProxyState,
        receiver: NodeIdentity,
        sequence: Long,
        fullView: Boolean = false,
        target: NodeIdentity? = null,
    ): Step {
        val piggyback =
            if (fullView) {
                Piggyback.view(state, receiver)
            } else {
                Piggyback.take(state, receiver, context.randomFor("acknowledgement/$sequence"))
            }
        val message = PeerMessage.Acknowledgement(sequence, piggyback.updates, generation(state), target)
        return Step(piggyback.state, listOf(Effect.SendPeerMessage(receiver, message)))
    }

    private fun send(state: ProxyState, receiver: NodeIdentity, probe: Probe?): Step {
        val sequence = state.membership.protocol.nextSequence
        val piggyback = Piggyback.take(state, receiver, context.randomFor("ping/$sequence"))
        val message =
            PeerMessage.Ping(
                sequence = sequence,
                updates = piggyback.updates,
                generation = generation(state),
                onBehalfOf = (probe as? Probe.Relayed)?.requester,
                wantsView = (probe as? Probe.Own)?.wantsView == true,
            )
        return Step(
            piggyback.state.withProtocol { copy(nextSequence = sequence + 1) },
            listOf(Effect.SendPeerMessage(receiver, message)),
        )
    }

    private fun isViewRequested(state: ProxyState): Boolean =
        state.membership.protocol.probes.values
            .any { it is Probe.Own && it.wantsView }

    private fun generation(state: ProxyState): Long = state.configuration.index.generation
}
