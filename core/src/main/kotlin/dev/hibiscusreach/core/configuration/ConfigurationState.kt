package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationChange
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.ConfigurationIndex
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The configuration in effect and the state of its dissemination. */
data class ConfigurationState(
    val index: ConfigurationIndex = ConfigurationIndex(Configuration()),
    /** Identifiers of the latest edits, newest last. */
    val recentChanges: List<String> = emptyList(),
    /** The latest changes up to the generation in effect, each based on the one before; for peers that are behind. */
    val changes: PersistentList<ConfigurationChange> = persistentListOf(),
    /** The platform's store as a watcher knows it, and the operation in progress. */
    val store: StoreState = StoreState(),
    /** The outstanding request to a peer with a higher generation, or null. */
    val pull: ConfigurationPull? = null,
) {
    /** Whether any configuration has been installed. */
    val isLoaded: Boolean get() = index.generation > 0
}
