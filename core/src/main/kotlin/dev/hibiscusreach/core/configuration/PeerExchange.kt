package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Exchanges the configuration with peers. */
internal class PeerExchange(private val context: StepContext) {
    private val receipt = Receipt(context)

    fun received(state: ProxyState, from: NodeIdentity, message: PeerMessage): Step =
        when (message) {
            is PeerMessage.Ping -> seen(state, from, message.generation)
            is PeerMessage.Acknowledgement -> seen(state, from, message.generation)
            is PeerMessage.ConfigurationAnnounced -> announced(state, from, message.generation)
            is PeerMessage.ConfigurationRequested -> requested(state, from, message.haveGeneration)
            is PeerMessage.ConfigurationDelivered -> receipt.pageDelivered(state, from, message)
            is PeerMessage.ConfigurationChangesDelivered -> receipt.changesDelivered(state, message)
            else -> Step(state)
        }

    /** Asks another peer if the one that was asked does not deliver. */
    fun pullTimedOut(state: ProxyState): Step {
        val pull = state.configuration.pull
        val peers = state.membership.livePeers()
        val isOpen = pull != null && pull.generation > state.configuration.index.generation
        return if (isOpen && pull.attempts < MAXIMUM_ATTEMPTS && peers.isNotEmpty()) {
            val next = peers.random(context.randomFor("pull")).node
            pull(state, Pull(from = next, pull.generation, pull.attempts + 1))
        } else {
            Step(state.withConfiguration { copy(pull = null) })
        }
    }

    /** Handles the link to [peer] having failed. */
    fun unreachable(state: ProxyState, peer: NodeIdentity): Step =
        if (state.configuration.pull?.from == peer) pullTimedOut(state) else Step(state)

    private fun seen(state: ProxyState, from: NodeIdentity, generation: Long): Step =
        if (generation > state.configuration.index.generation && state.configuration.pull == null) {
            pull(state, Pull(from, generation))
        } else {
            Step(state)
        }

    private fun announced(state: ProxyState, from: NodeIdentity, generation: Long): Step {
        val own = state.configuration.index.generation
        return if (generation < own) {
            Step(state, listOf(Effect.SendPeerMessage(from, PeerMessage.ConfigurationAnnounced(own))))
        } else {
            seen(state, from, generation)
        }
    }

    private fun pull(state: ProxyState, pull: Pull): Step {
        val request = PeerMessage.ConfigurationRequested(state.configuration.index.generation)
        return Step(
            state.withConfiguration { copy(pull = pull) },
            listOf(
                Effect.SendPeerMessage(pull.from, request),
                Effect.StartTimer(TimerKey.ConfigurationPeriod, Pull.TIMEOUT),
            ),
        )
    }

    private fun requested(state: ProxyState, from: NodeIdentity, haveGeneration: Long): Step =
        if (state.configuration.index.generation > haveGeneration) {
            val messages = Delivery.messages(state.configuration, haveGeneration)
            Step(state, messages.map { Effect.SendPeerMessage(from, it) })
        } else {
            Step(state)
        }

    private companion object {
        /** After this many the next message of a peer that is ahead starts anew. */
        const val MAXIMUM_ATTEMPTS = 4
    }
}
