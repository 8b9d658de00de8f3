package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationChange
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules

/** Splits a configuration so that each part fits into one message between proxies. */
internal object ConfigurationPages {
    /** Entries in a page. An entry with names of full length takes less than 800 bytes, and a frame holds 1 MiB. */
    const val MAXIMUM_WEIGHT: Int = 1_000

    /** The pages of [configuration], in order; at least one. */
    fun split(configuration: Configuration): List<Configuration> {
        val inventory = configuration.inventory
        val inventories =
            chunks(inventory.failureDomains) { 1 }.map { Inventory(failureDomains = it) } +
                chunks(inventory.databaseGroups, ::weight).map { Inventory(databaseGroups = it) } +
                chunks(inventory.callers) { 1 }.map { Inventory(callers = it) }
        val rules = chunks(configuration.rules.callers, ::weight).map { Rules(it) }
        val pages =
            inventories.map { Configuration(configuration.generation, inventory = it) } +
                rules.map { Configuration(configuration.generation, rules = it) }
        return if (weight(inventory, configuration.rules) <= MAXIMUM_WEIGHT) listOf(configuration) else pages
    }

    /** The configuration that [pages] were split from. */
    fun join(pages: List<Configuration>): Configuration =
        Configuration(
            generation = pages.first().generation,
            inventory =
            Inventory(
                failureDomains = pages.flatMap { it.inventory.failureDomains },
                databaseGroups = pages.flatMap { it.inventory.databaseGroups },
                callers = pages.flatMap { it.inventory.callers },
            ),
            rules = Rules(pages.flatMap { it.rules.callers }),
        )

    /** The number of entries of [change]. */
    fun weight(change: ConfigurationChange): Int =
        weight(change.inventory, change.rules) +
            with(change.removed) { failureDomains.size + databases.size + callers.size + rules.size }

    private fun weight(inventory: Inventory, rules: Rules): Int =
        inventory.failureDomains.size +
            inventory.databaseGroups.sumOf(::weight) +
            inventory.callers.size +
            rules.callers.sumOf(::weight)

    private fun weight(group: DatabaseGroup): Int = 1 + group.servers.size

    private fun weight(rule: CallerRule): Int = 1 + rule.maximumReadAgeMillisByDatabase.size

    private fun <T> chunks(entries: List<T>, weight: (T) -> Int): List<List<T>> {
        val chunks = mutableListOf<MutableList<T>>()
        var room = 0
        for (entry in entries) {
            if (weight(entry) > room) {
                chunks += mutableListOf<T>()
                room = MAXIMUM_WEIGHT
            }
            chunks.last() += entry
            room -= weight(entry)
        }
        return chunks
    }
}
