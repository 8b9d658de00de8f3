package dev.hibiscusreach.core.event

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules
import kotlinx.serialization.Serializable

/** The difference between two generations of the configuration. */
@Serializable
data class ConfigurationChange(
    /** The generation that the change applies to. */
    val base: Long,
    val generation: Long,
    /** Added and changed entries; each one is complete. */
    val inventory: Inventory = Inventory(),
    /** Added and changed rules. */
    val rules: Rules = Rules(),
    val removed: RemovedEntries = RemovedEntries(),
)

/** Names of the entries that a [ConfigurationChange] removes. */
@Serializable
data class RemovedEntries(
    val failureDomains: List<FailureDomainName> = emptyList(),
    val databases: List<DatabaseName> = emptyList(),
    val callers: List<CallerName> = emptyList(),
    val rules: List<CallerName> = emptyList(),
)
