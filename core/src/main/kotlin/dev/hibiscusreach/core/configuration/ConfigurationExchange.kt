package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Pulls the configuration from peers with a higher generation and answers the pulls of peers. */
internal class ConfigurationExchange(private val context: StepContext) {
    private val receiver = ConfigurationReceiver(context)

    fun received(state: ProxyState, from: NodeIdentity, message: PeerMessage): Step =
        when (message) {
            is PeerMessage.Ping -> pullIfNewer(state, from, message.generation)
            is PeerMessage.Acknowledgement -> pullIfNewer(state, from, message.generation)
            is PeerMessage.ConfigurationAnnounced -> announced(state, from, message.generation)
            is PeerMessage.ConfigurationRequested -> requested(state, from, message.haveGeneration)
            is PeerMessage.ConfigurationDelivered -> receiver.pageDelivered(state, from, message)
            is PeerMessage.ConfigurationChangesDelivered -> receiver.changesDelivered(state, message)
            else -> Step(state)
        }

    /** Repeats the pull from a random live peer after the one that was asked did not deliver. */
    fun pullTimedOut(state: ProxyState): Step {
        val pull = state.configuration.pull
        val peers = state.membership.livePeers()
        val isOpen = pull != null && pull.generation > state.configuration.index.generation
        return if (isOpen && pull.attempts < MAXIMUM_ATTEMPTS && peers.isNotEmpty()) {
            val next = peers.random(context.randomFor("pull")).node
            pull(state, ConfigurationPull(from = next, pull.generation, pull.attempts + 1))
        } else {
            Step(state.withConfiguration { copy(pull = null) })
        }
    }

    /** Handles the failure of the link to [peer]. */
    fun unreachable(state: ProxyState, peer: NodeIdentity): Step =
        if (state.configuration.pull?.from == peer) pullTimedOut(state) else Step(state)

    private fun pullIfNewer(state: ProxyState, from: NodeIdentity, generation: Long): Step =
        if (generation > state.configuration.index.generation && state.configuration.pull == null) {
            pull(state, ConfigurationPull(from, generation))
        } else {
            Step(state)
        }

    private fun announced(state: ProxyState, from: NodeIdentity, generation: Long): Step {
        val own = state.configuration.index.generation
        return if (generation < own) {
            Step(state, listOf(Effect.SendPeerMessage(from, PeerMessage.ConfigurationAnnounced(own))))
        } else {
            pullIfNewer(state, from, generation)
        }
    }

    private fun pull(state: ProxyState, pull: ConfigurationPull): Step {
        val request = PeerMessage.ConfigurationRequested(state.configuration.index.generation)
        return Step(
            state.withConfiguration { copy(pull = pull) },
            listOf(
                Effect.SendPeerMessage(pull.from, request),
                Effect.StartTimer(TimerKey.ConfigurationPeriod, ConfigurationPull.TIMEOUT),
            ),
        )
    }

    private fun requested(state: ProxyState, from: NodeIdentity, haveGeneration: Long): Step =
        if (state.configuration.index.generation > haveGeneration) {
            val messages = ConfigurationDelivery.messages(state.configuration, haveGeneration)
            Step(state, messages.map { Effect.SendPeerMessage(from, it) })
        } else {
            Step(state)
        }

    private companion object {
        /** Attempts before a pull is dropped. The next message from a peer with a higher generation starts another. */
        const val MAXIMUM_ATTEMPTS = 4
    }
}
