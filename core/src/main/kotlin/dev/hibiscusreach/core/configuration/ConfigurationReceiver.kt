package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Installs the configurations and changes that peers deliver. */
internal class ConfigurationReceiver(context: StepContext) {
    private val installer = ConfigurationInstaller(context)

    /** Installs a whole configuration, or collects its pages until all have arrived. */
    fun pageDelivered(
        state: ProxyState,
        from: NodeIdentity,
        message: PeerMessage.ConfigurationDelivered,
    ): Step {
        val pull = state.configuration.pull
        return when {
            message.pages == 1 -> installDelivered(state, message.configuration, message.recentChanges)
            pull == null || pull.from != from -> Step(state)
            else -> collect(state, pull, message)
        }
    }

    // The sender may install a higher generation between two requests; its pages replace those of the earlier one.
    private fun collect(state: ProxyState, pull: ConfigurationPull, message: PeerMessage.ConfigurationDelivered): Step {
        val isSameGeneration = pull.pages.values.all { it.generation == message.configuration.generation }
        val pages = (if (isSameGeneration) pull.pages else pull.pages.clear()).put(message.page, message.configuration)
        return if (pages.size == message.pages) {
            val ordered = pages.entries.sortedBy { it.key }.map { it.value }
            installDelivered(state, ConfigurationPages.join(ordered), message.recentChanges)
        } else {
            Step(
                state.withConfiguration { copy(pull = pull.copy(pages = pages)) },
                listOf(Effect.StartTimer(TimerKey.ConfigurationPeriod, ConfigurationPull.TIMEOUT)),
            )
        }
    }

    /** Applies the changes to the configuration in effect and installs the result. */
    fun changesDelivered(state: ProxyState, message: PeerMessage.ConfigurationChangesDelivered): Step {
        val current = state.configuration.index.configuration
        return installDelivered(state, ConfigurationChanges.applyAll(current, message.changes), message.recentChanges)
    }

    private fun installDelivered(state: ProxyState, configuration: Configuration, recentChanges: List<String>): Step =
        installer
            .install(state, configuration, recentChanges, ConfigurationSource.PEER)
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
