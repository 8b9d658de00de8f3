package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationChange
import dev.hibiscusreach.core.event.RemovedEntries
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules

/** Computes and applies the changes that proxies send to each other in place of the whole configuration. */
internal object ConfigurationChanges {
    /** The change that turns [before] into [after]. */
    fun between(before: Configuration, after: Configuration): ConfigurationChange {
        val earlier = before.inventory
        val later = after.inventory
        return ConfigurationChange(
            base = before.generation,
            generation = after.generation,
            inventory =
            Inventory(
                failureDomains = upserted(earlier.failureDomains, later.failureDomains) { it.name },
                databaseGroups = upserted(earlier.databaseGroups, later.databaseGroups) { it.name },
                callers = upserted(earlier.callers, later.callers) { it.name },
            ),
            rules = Rules(upserted(before.rules.callers, after.rules.callers) { it.caller }),
            removed =
            RemovedEntries(
                failureDomains = removed(earlier.failureDomains, later.failureDomains) { it.name },
                databases = removed(earlier.databaseGroups, later.databaseGroups) { it.name },
                callers = removed(earlier.callers, later.callers) { it.name },
                rules = removed(before.rules.callers, after.rules.callers) { it.caller },
            ),
        )
    }

    /** Applies [changes] in order; a change that is not based on the current generation is skipped. */
    fun applyAll(configuration: Configuration, changes: List<ConfigurationChange>): Configuration =
        changes.fold(configuration) { current, change ->
            if (change.base == current.generation) apply(current, change) else current
        }

    private fun apply(configuration: Configuration, change: ConfigurationChange): Configuration {
        val inventory = configuration.inventory
        val changed = change.inventory
        val removed = change.removed
        return Configuration(
            generation = change.generation,
            inventory =
            Inventory(
                inventory.failureDomains.merge(changed.failureDomains, removed.failureDomains) { it.name },
                inventory.databaseGroups.merge(changed.databaseGroups, removed.databases) { it.name },
                inventory.callers.merge(changed.callers, removed.callers) { it.name },
            ),
            rules = Rules(configuration.rules.callers.merge(change.rules.callers, removed.rules) { it.caller }),
        )
    }

    private fun <T, K> upserted(before: List<T>, after: List<T>, key: (T) -> K): List<T> {
        val known = before.associateBy(key)
        return after.filter { known[key(it)] != it }
    }

    private fun <T, K> removed(before: List<T>, after: List<T>, key: (T) -> K): List<K> {
        val remaining = after.mapTo(mutableSetOf(), key)
        return before.map(key).filterNot { it in remaining }
    }

    private fun <T, K> List<T>.merge(upserts: List<T>, removed: List<K>, key: (T) -> K): List<T> {
        val changed = upserts.associateByTo(linkedMapOf(), key)
        val removedKeys = removed.toSet()
        val kept = filterNot { key(it) in removedKeys }.map { changed.remove(key(it)) ?: it }
        return kept + changed.values
    }
}
