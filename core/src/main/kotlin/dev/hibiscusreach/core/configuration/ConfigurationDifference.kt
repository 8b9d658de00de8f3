package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseGroup

/** One entry in which two configurations differ. */
sealed interface DifferenceEntry {
    /** Kind and name of the entry, such as `server jobs-1`. */
    val subject: String

    /** Only the later configuration has the entry. */
    data class Added(override val subject: String) : DifferenceEntry {
        override fun toString(): String = "added $subject"
    }

    /** Only the earlier configuration has the entry. */
    data class Removed(override val subject: String) : DifferenceEntry {
        override fun toString(): String = "removed $subject"
    }

    /** Both configurations have the entry, with different values. */
    data class Changed(override val subject: String, val fields: List<FieldChange>) : DifferenceEntry {
        override fun toString(): String = "changed $subject: ${fields.joinToString()}"
    }
}

/** A field of an entry with its value in both configurations; `none` stands for a missing value. */
data class FieldChange(val field: String, val before: String, val after: String) {
    override fun toString(): String = "$field $before -> $after"
}

/** The entries in which two configurations differ: removed ones, then added and changed ones in inventory order. */
data class ConfigurationDifference(val entries: List<DifferenceEntry>) {
    /** Whether both configurations have the same content. */
    val isEmpty: Boolean get() = entries.isEmpty()

    override fun toString(): String = entries.joinToString(separator = "\n")

    companion object {
        /** The difference from [before] to [after]; generations are not compared. */
        fun between(before: Configuration, after: Configuration): ConfigurationDifference {
            val earlier = before.describe()
            val later = after.describe()
            val removed = earlier.keys.filterNot { it in later }.map { DifferenceEntry.Removed(it) }
            val others =
                later.mapNotNull { (subject, fields) ->
                    val known = earlier[subject]
                    if (known == null) DifferenceEntry.Added(subject) else changed(subject, known, fields)
                }
            return ConfigurationDifference(removed + others)
        }

        private fun changed(
            subject: String,
            before: Map<String, String>,
            after: Map<String, String>,
        ): DifferenceEntry.Changed? {
            val changes =
                (before.keys + after.keys)
                    .filter { before[it] != after[it] }
                    .map { FieldChange(it, before[it] ?: NONE, after[it] ?: NONE) }
            return if (changes.isEmpty()) null else DifferenceEntry.Changed(subject, changes)
        }

        private const val NONE = "none"
    }
}

/** Every entry by subject, with the values of its fields. */
private fun Configuration.describe(): Map<String, Map<String, String>> =
    inventory.failureDomains.associate { "failure domain ${it.name}" to mapOf("region" to it.region.value) } +
        inventory.databaseGroups.associate { "database ${it.name}" to emptyMap() } +
        inventory.databaseGroups.flatMap { group -> group.servers.map { "server ${it.name}" to it.fields(group) } } +
        inventory.callers.associate { "caller ${it.name}" to emptyMap() } +
        rules.callers.associate { "rule of caller ${it.caller}" to it.fields() }

private fun BackendServer.fields(group: DatabaseGroup): Map<String, String> =
    mapOf(
        "database" to group.name.value,
        "failure domain" to failureDomain.value,
        "session endpoint" to sessionEndpoint.toString(),
        "control endpoint" to controlEndpoint.toString(),
        "connection limit" to connectionLimit.toString(),
        "slots" to slots.toString(),
    )

private fun CallerRule.fields(): Map<String, String> =
    mapOf(
        "connection limit" to connectionLimit.toString(),
        "maximum read age" to "$maximumReadAgeMillis ms",
    ) + maximumReadAgeMillisByDatabase.map { (database, age) -> "maximum read age of $database" to "$age ms" }
