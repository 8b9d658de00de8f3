package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.reducer.ProxyState

/**
 * Another edit under the generation in effect. Possible only if the store was restored from a backup and edited before
 * the watchers wrote back; the operators must decide which edit to apply again.
 */
internal object StoreConflict {
    /** Whether [root], which has the generation in effect, belongs to another edit. */
    fun exists(state: ProxyState, root: ConfigurationRoot): Boolean =
        root.recentChanges.lastOrNull() != state.configuration.recentChanges.lastOrNull()

    /** The log line for [root]. */
    fun report(root: ConfigurationRoot): Effect {
        val fields = mapOf("generation" to root.generation.toString(), "stored" to "${root.recentChanges.lastOrNull()}")
        return Effect.Log(LogLevel.ERROR, "the store has another edit under the generation in effect", fields)
    }
}
