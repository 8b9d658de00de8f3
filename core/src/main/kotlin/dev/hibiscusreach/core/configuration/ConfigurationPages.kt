package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationChange
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules

/** Splits a configuration into pages that each fit into one message between proxies. */
internal object ConfigurationPages {
    /** Maximum entries of a page. An entry takes less than 500 bytes with the longest names; a frame holds 1 MiB. */
    const val MAXIMUM_WEIGHT: Int = 1_000

    /** The pages of [configuration], in order; at least one. */
    fun split(configuration: Configuration): List<Configuration> {
        val inventory = configuration.inventory
        val inventories =
            batches(inventory.failureDomains) { 1 }.map { Inventory(failureDomains = it) } +
                batches(inventory.databaseGroups, ::weight).map { Inventory(databaseGroups = it) } +
                batches(inventory.callers) { 1 }.map { Inventory(callers = it) }
        val rules = batches(configuration.rules.callers, ::weight).map { Rules(it) }
        val pages =
            inventories.map { Configuration(configuration.generation, inventory = it) } +
                rules.map { Configuration(configuration.generation, rules = it) }
        return if (weight(inventory, configuration.rules) <= MAXIMUM_WEIGHT) listOf(configuration) else pages
    }

    /** Restores the configuration from all its [pages], in order. */
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

    private fun <T> batches(entries: List<T>, weight: (T) -> Int): List<List<T>> {
        val batches = mutableListOf<MutableList<T>>()
        var remainingWeight = 0
        for (entry in entries) {
            if (weight(entry) > remainingWeight) {
                batches += mutableListOf<T>()
                remainingWeight = MAXIMUM_WEIGHT
            }
            batches.last() += entry
            remainingWeight -= weight(entry)
        }
        return batches
    }
}
