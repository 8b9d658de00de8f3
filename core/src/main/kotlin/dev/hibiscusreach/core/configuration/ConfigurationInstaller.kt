package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationChange
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Where a configuration came from. */
internal enum class ConfigurationSource { PLATFORM, PEER }

/** Installs configurations of a higher generation and announces them. No other class changes the generation. */
internal class ConfigurationInstaller(private val context: StepContext) {
    /** Installs [configuration] if its generation is higher than the one in effect. */
    fun install(
        state: ProxyState,
        configuration: Configuration,
        recentChanges: List<String>,
        source: ConfigurationSource,
    ): Step =
        if (configuration.generation <= state.configuration.index.generation) {
            Step(state)
        } else {
            val installed =
                state.withConfiguration {
                    copy(
                        index = ConfigurationIndex(configuration),
                        recentChanges = recentChanges,
                        changes = retainedChanges(this, configuration),
                    )
                }
            Step(
                installed,
                announcements(installed) + report(configuration.generation, source),
                listOf(Signal.ConfigurationChanged(configuration.generation)),
            )
        }

    private fun retainedChanges(before: ConfigurationState, after: Configuration): PersistentList<ConfigurationChange> {
        val change = ConfigurationChanges.between(before.index.configuration, after)
        val isSmall = ConfigurationPages.weight(change) <= ConfigurationPages.MAXIMUM_WEIGHT
        return if (before.isLoaded && isSmall) {
            (before.changes + change).takeLast(RETAINED_CHANGES).toPersistentList()
        } else {
            persistentListOf()
        }
    }

    private fun announcements(state: ProxyState): List<Effect> =
        state.membership
            .livePeers()
            .shuffled(context.randomFor("announcement"))
            .take(state.settings.membership.announcementFanOut)
            .map {
                val message = PeerMessage.ConfigurationAnnounced(state.configuration.index.generation)
                Effect.SendPeerMessage(it.node, message)
            }

    private fun report(generation: Long, source: ConfigurationSource): List<Effect> =
        listOf(
            Effect.Count(CounterName.CONFIGURATION_CHANGES, label = source.name.lowercase()),
            Effect.Log(
                LogLevel.INFO,
                "configuration in effect",
                mapOf("generation" to generation.toString(), "source" to source.name.lowercase()),
            ),
        )

    private companion object {
        /** Changes kept for peers that are behind. A peer that missed more gets the whole configuration. */
        const val RETAINED_CHANGES = 16
    }
}
