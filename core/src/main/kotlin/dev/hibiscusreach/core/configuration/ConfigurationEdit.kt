package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules

/** The configuration that the platform's store has, as it was read before an edit. */
data class StoredConfiguration(
    /** The root, or null if nothing was stored yet. */
    val root: ConfigurationRoot? = null,
    /** Version of the root's object; 0 if it does not exist. */
    val rootVersion: Long = 0,
    val configuration: Configuration = Configuration(),
)

/** What an operator wants to change. */
data class RequestedChange(
    /** Identifies the change, so that it can be sent again if its answer was lost. */
    val identifier: String,
    /** The whole new inventory, or null to keep the stored one. */
    val inventory: Inventory? = null,
    /** The whole new rules, or null to keep the stored ones. */
    val rules: Rules? = null,
)

/** What is to be done for a [RequestedChange]. */
sealed interface EditResult {
    /**
     * The objects to put. All [chunks] come first; a version conflict of a chunk means that it is stored already. The
     * change is accepted once [root] is stored. After a version conflict or a lost answer of the root, the stored
     * configuration must be read and the change prepared again.
     */
    data class Prepared(
        val generation: Long,
        val chunks: List<PlatformCall.Put>,
        val root: PlatformCall.Put,
        val difference: ConfigurationDifference,
    ) : EditResult

    /** A change with the same identifier was accepted earlier; [generation] includes it. */
    data class AlreadyApplied(val generation: Long) : EditResult

    /** The stored configuration has the requested content already, by another change. */
    data class NothingToChange(val generation: Long) : EditResult

    /** The requested content cannot be accepted. */
    data class Invalid(val faults: List<InventoryFault>) : EditResult
}

/** Turns a change into the platform's objects. */
object ConfigurationEdit {
    private const val MAXIMUM_IDENTIFIER_LENGTH = 128

    /** The objects that carry out [change] on top of [stored]. */
    fun prepare(stored: StoredConfiguration, change: RequestedChange): EditResult {
        val changes = stored.root?.recentChanges.orEmpty()
        val configuration = stored.configuration.applying(change)
        val faults = identifierFaults(change) + InventoryCheck.check(configuration.inventory, configuration.rules)
        val difference = ConfigurationDifference.between(stored.configuration, configuration)
        return when {
            change.identifier in changes -> EditResult.AlreadyApplied(stored.configuration.generation)
            faults.isNotEmpty() -> EditResult.Invalid(faults)
            configuration.hasContentOf(stored.configuration) && stored.root != null ->
                EditResult.NothingToChange(stored.configuration.generation)
            else ->
                prepared(
                    ConfigurationCodec.encode(configuration, changes + change.identifier),
                    stored.rootVersion,
                    difference,
                )
        }
    }

    private fun prepared(
        encoded: EncodedConfiguration,
        rootVersion: Long,
        difference: ConfigurationDifference,
    ): EditResult.Prepared {
        val chunks =
            encoded.chunks.map { (hash, chunk) ->
                PlatformCall.Put(ConfigurationCodec.chunkKey(hash), chunk, expectedVersion = 0)
            }
        val value = ConfigurationCodec.encodeRoot(encoded.root)
        val root = PlatformCall.Put(ConfigurationCodec.ROOT_KEY, value, rootVersion)
        return EditResult.Prepared(encoded.root.generation, chunks, root, difference)
    }

    private fun identifierFaults(change: RequestedChange): List<InventoryFault> =
        faultIf(change.identifier.isBlank(), "change identifier", "it is empty") +
            faultIf(
                change.identifier.length > MAXIMUM_IDENTIFIER_LENGTH,
                "change identifier",
                "it has more than $MAXIMUM_IDENTIFIER_LENGTH characters",
            )

    private fun Configuration.applying(change: RequestedChange): Configuration =
        Configuration(
            generation = generation + 1,
            inventory = change.inventory ?: inventory,
            rules = change.rules ?: rules,
        )

    private fun Configuration.hasContentOf(other: Configuration): Boolean =
        inventory == other.inventory && rules == other.rules
}
