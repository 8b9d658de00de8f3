package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.reducer.ProxyState

/**
 * Detects that the store has another edit with the generation in effect. This is possible only if the store was
 * restored from a backup and edited before the watchers wrote the configuration back. The operators must decide which
 * edit to apply again.
 */
internal object StoreConflict {
    /** Whether [root], which has the generation in effect, comes from another edit. */
    fun exists(state: ProxyState, root: ConfigurationRoot): Boolean =
        root.recentChanges.lastOrNull() != state.configuration.recentChanges.lastOrNull()

    /** The log line about the conflict with [root]. */
    fun log(root: ConfigurationRoot): Effect {
        val fields = mapOf("generation" to root.generation.toString(), "stored" to "${root.recentChanges.lastOrNull()}")
        return Effect.Log(LogLevel.ERROR, "the store has another edit under the generation in effect", fields)
    }
}
