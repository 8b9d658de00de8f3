package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.Configuration

/** Describes what differs between two configurations, one line for each item. */
internal object Difference {
    fun lines(before: Configuration, after: Configuration): List<String> {
        val old = items(before)
        val new = items(after)
        return (old.keys + new.keys).mapNotNull { name -> line(name, old[name], new[name]) }
    }

    private fun line(name: String, old: Any?, new: Any?): String? =
        when {
            old == new -> null
            old == null -> "+ $name: $new"
            new == null -> "- $name: $old"
            else -> "~ $name: $old -> $new"
        }

    private fun items(configuration: Configuration): Map<String, Any> {
        val inventory = configuration.inventory
        val servers = inventory.databaseGroups.flatMap { group -> group.servers.map { group to it } }
        return inventory.failureDomains.associate { "failure domain ${it.name}" to it.region } +
            servers.associate { (group, server) -> "server ${server.name} of ${group.name}" to server } +
            inventory.callers.associate { "caller ${it.name}" to it.name } +
            configuration.rules.callers.associateBy { "rule of caller ${it.caller}" }
    }
}
