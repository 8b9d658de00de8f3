package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseGroup

/** One thing that is wrong in the inventory or the rules. */
internal class ConfigurationFault(val inRules: Boolean, val path: String, val message: String)

/** Checks that an inventory and rules fit together. */
internal object ConfigurationCheck {
    fun faults(configuration: Configuration): List<ConfigurationFault> = groups(configuration) + rules(configuration)

    private fun groups(configuration: Configuration): List<ConfigurationFault> {
        val domains = configuration.inventory.failureDomains.map { it.name }.toSet()
        return configuration.inventory.databaseGroups.flatMapIndexed { index, group ->
            val path = "databaseGroups[$index]"
            group.servers.mapIndexedNotNull { position, server ->
                if (server.failureDomain in domains) {
                    null
                } else {
                    val message = "failure domain ${server.failureDomain} is not in the inventory"
                    inventoryFault("$path.servers[$position].failureDomain", message)
                }
            } + emptyGroup(path, group)
        }
    }

    private fun emptyGroup(path: String, group: DatabaseGroup) =
        if (group.servers.isEmpty()) listOf(inventoryFault(path, "has no servers")) else emptyList()

    private fun rules(configuration: Configuration): List<ConfigurationFault> {
        val callers = configuration.inventory.callers.map { it.name }.toSet()
        return configuration.rules.callers.mapIndexedNotNull { index, rule ->
            if (rule.caller in callers) {
                null
            } else {
                val message = "caller ${rule.caller} is not in the inventory"
                ConfigurationFault(inRules = true, "callers[$index].caller", message)
            }
        }
    }

    private fun inventoryFault(path: String, message: String) =
        ConfigurationFault(inRules = false, path, message)
}
