package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationChange
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.ConfigurationIndex
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The configuration in force and the state of its dissemination. */
data class ConfigurationState(
    val index: ConfigurationIndex = ConfigurationIndex(Configuration()),
    /** Identifiers of the latest edits, newest last. */
    val recentChanges: List<String> = emptyList(),
    /** The latest changes up to the generation in effect, each based on the one before, for peers that are behind. */
    val changes: PersistentList<ConfigurationChange> = persistentListOf(),
    /** What a watcher knows of the platform's store and does with it. */
    val store: StoreState = StoreState(),
    /** The request to a peer that is ahead, if one is outstanding. */
    val pull: Pull? = null,
) {
    /** Whether any configuration was ever taken over. */
    val isLoaded: Boolean get() = index.generation > 0
}
