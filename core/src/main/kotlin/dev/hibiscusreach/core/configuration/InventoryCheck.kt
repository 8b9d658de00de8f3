package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules

/** Validates an inventory and its rules. All faults are reported at once, so that operators can fix them together. */
object InventoryCheck {
    /** The faults of [inventory] and [rules]; empty if both are valid. */
    fun check(inventory: Inventory, rules: Rules): List<InventoryFault> =
        faultIf(inventory.databaseGroups.isEmpty(), "inventory", "it has no databases") +
            failureDomainFaults(inventory) +
            databaseFaults(inventory) +
            serverFaults(inventory) +
            callerFaults(inventory) +
            RuleCheck(inventory).check(rules)

    private fun failureDomainFaults(inventory: Inventory): List<InventoryFault> {
        val domains = inventory.failureDomains
        return duplicates("failure domain", domains.map { it.name.value }) +
            domains.flatMap { domain ->
                NameCheck.printable("failure domain", domain.name.value) +
                    NameCheck.printable("region", domain.region.value)
            }
    }

    private fun databaseFaults(inventory: Inventory): List<InventoryFault> =
        duplicates("database", inventory.databaseGroups.map { it.name.value }) +
            inventory.databaseGroups.flatMap { group ->
                NameCheck.key("database", group.name.value) + noServers(group)
            }

    private fun noServers(group: DatabaseGroup): List<InventoryFault> =
        faultIf(group.servers.isEmpty(), "database ${group.name}", "it has no servers")

    private fun serverFaults(inventory: Inventory): List<InventoryFault> {
        val servers = inventory.databaseGroups.flatMap { it.servers }
        val domains = inventory.failureDomains.mapTo(mutableSetOf()) { it.name }
        val endpoints = servers.flatMap { listOf(it.sessionEndpoint, it.controlEndpoint) }
        return duplicates("server", servers.map { it.name.value }) +
            duplicates("endpoint", endpoints.map { it.toString() }) +
            servers.flatMap { server ->
                val isUnknown = server.failureDomain !in domains
                serverFaults(server) +
                    faultIf(isUnknown, "server ${server.name}", "unknown failure domain ${server.failureDomain}")
            }
    }

    private fun serverFaults(server: BackendServer): List<InventoryFault> {
        val subject = "server ${server.name}"
        return NameCheck.printable("server", server.name.value) +
            EndpointCheck.check("$subject, session endpoint", server.sessionEndpoint) +
            EndpointCheck.check("$subject, control endpoint", server.controlEndpoint) +
            faultIf(server.connectionLimit < 1, subject, "connection limit ${server.connectionLimit} is below 1") +
            faultIf(server.slots < 1, subject, "number of slots ${server.slots} is below 1")
    }

    private fun callerFaults(inventory: Inventory): List<InventoryFault> =
        duplicates("caller", inventory.callers.map { it.name.value }) +
            inventory.callers.flatMap { NameCheck.header("caller", it.name.value) }
}

internal fun faultIf(isFaulty: Boolean, subject: String, problem: String): List<InventoryFault> =
    if (isFaulty) listOf(InventoryFault(subject, problem)) else emptyList()

internal fun duplicates(kind: String, names: List<String>): List<InventoryFault> =
    names
        .groupingBy { it }
        .eachCount()
        .filterValues { it > 1 }
        .map { (name, count) -> InventoryFault("$kind $name", "it is listed $count times") }
