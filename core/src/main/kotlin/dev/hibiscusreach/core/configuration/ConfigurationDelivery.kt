package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.Configuration

/** Builds the messages that bring a peer to the generation in effect. */
internal object ConfigurationDelivery {
    /** The changes since [haveGeneration] if they are kept and fit into one message, else the whole configuration. */
    fun messages(configuration: ConfigurationState, haveGeneration: Long): List<PeerMessage> {
        val changes = configuration.changes.dropWhile { it.base != haveGeneration }
        val isSmall = changes.sumOf(ConfigurationPages::weight) <= ConfigurationPages.MAXIMUM_WEIGHT
        return if (changes.isNotEmpty() && isSmall) {
            listOf(PeerMessage.ConfigurationChangesDelivered(changes, configuration.recentChanges))
        } else {
            pages(configuration)
        }
    }

    private fun pages(configuration: ConfigurationState): List<PeerMessage> {
        val pages: List<Configuration> = ConfigurationPages.split(configuration.index.configuration)
        return pages.mapIndexed { number, page ->
            PeerMessage.ConfigurationDelivered(page, configuration.recentChanges, number, pages.size)
        }
    }
}
