package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules

/** Validates rules against the callers and databases of [inventory]. */
internal class RuleCheck(inventory: Inventory) {
    private val callers = inventory.callers.mapTo(mutableSetOf()) { it.name }
    private val databases = inventory.databaseGroups.mapTo(mutableSetOf()) { it.name }

    fun check(rules: Rules): List<InventoryFault> =
        duplicates("rule of caller", rules.callers.map { it.caller.value }) + rules.callers.flatMap(::ruleFaults)

    private fun ruleFaults(rule: CallerRule): List<InventoryFault> {
        val subject = "rule of caller ${rule.caller}"
        return faultIf(rule.caller !in callers, subject, "the inventory has no such caller") +
            faultIf(rule.connectionLimit < 1, subject, "connection limit ${rule.connectionLimit} is below 1") +
            faultIf(rule.maximumReadAgeMillis < 0, subject, "negative read age ${rule.maximumReadAgeMillis} ms") +
            databaseFaults(subject, rule)
    }

    private fun databaseFaults(subject: String, rule: CallerRule): List<InventoryFault> =
        rule.maximumReadAgeMillisByDatabase.flatMap { (database, age) ->
            faultIf(database !in databases, subject, "the inventory has no database $database") +
                faultIf(age < 0, subject, "negative read age $age ms for database $database")
        }
}
