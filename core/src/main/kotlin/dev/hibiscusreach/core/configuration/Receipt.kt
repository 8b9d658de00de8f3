package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Takes in what peers deliver. */
internal class Receipt(context: StepContext) {
    private val adoption = Adoption(context)

    /** Adopts a whole configuration, or collects the page if there are more. */
    fun pageDelivered(
        state: ProxyState,
        from: NodeIdentity,
        message: PeerMessage.ConfigurationDelivered,
    ): Step {
        val pull = state.configuration.pull
        return when {
            message.pages == 1 -> delivered(state, message.configuration, message.recentChanges)
            pull == null || pull.from != from -> Step(state)
            else -> collect(state, pull, message)
        }
    }

    // A higher generation may come into effect at the sender between two requests; its pages replace the earlier ones.
    private fun collect(state: ProxyState, pull: Pull, message: PeerMessage.ConfigurationDelivered): Step {
        val isSame = pull.pages.values.all { it.generation == message.configuration.generation }
        val pages = (if (isSame) pull.pages else pull.pages.clear()).put(message.page, message.configuration)
        return if (pages.size == message.pages) {
            val ordered = pages.entries.sortedBy { it.key }.map { it.value }
            delivered(state, ConfigurationPages.join(ordered), message.recentChanges)
        } else {
            Step(
                state.withConfiguration { copy(pull = pull.copy(pages = pages)) },
                listOf(Effect.StartTimer(TimerKey.ConfigurationPeriod, Pull.TIMEOUT)),
            )
        }
    }

    /** Adopts the generation that the changes lead to. */
    fun changesDelivered(state: ProxyState, message: PeerMessage.ConfigurationChangesDelivered): Step {
        val current = state.configuration.index.configuration
        return delivered(state, ConfigurationChanges.applyAll(current, message.changes), message.recentChanges)
    }

    private fun delivered(state: ProxyState, configuration: Configuration, recentChanges: List<String>): Step =
        adoption
            .adopt(state, configuration, recentChanges, ConfigurationSource.PEER)
            .then(::finishPull)

    private fun finishPull(state: ProxyState): Step {
        val pull = state.configuration.pull
        return if (pull != null && pull.generation <= state.configuration.index.generation) {
            Step(
                state.withConfiguration { copy(pull = null) },
                listOf(Effect.CancelTimer(TimerKey.ConfigurationPeriod)),
            )
        } else {
            Step(state)
        }
    }
}
