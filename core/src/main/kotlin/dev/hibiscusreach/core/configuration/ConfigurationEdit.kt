package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules

/** The configuration in the platform's store, as it was read before an edit. */
data class StoredConfiguration(
    /** The root, or null if nothing was stored yet. */
    val root: ConfigurationRoot? = null,
    /** Version of the root's object; 0 if it does not exist. */
    val rootVersion: Long = 0,
    val configuration: Configuration = Configuration(),
)

/** A change to the configuration that an operator requests. */
data class RequestedChange(
    /** Identifies the change, so that it can be sent again if its answer was lost. */
    val identifier: String,
    /** The whole new inventory, or null to keep the stored one. */
    val inventory: Inventory? = null,
    /** The whole new rules, or null to keep the stored ones. */
    val rules: Rules? = null,
)

/** The result of preparing a [RequestedChange]. */
sealed interface EditResult {
    /**
     * The objects to write. All [chunks] must be written before [root]; a version conflict of a chunk means that it is
     * stored already. The change is accepted once [root] is stored. If the write of the root meets a version conflict
     * or its answer is lost, the stored configuration must be read and the change prepared again.
     */
    data class Prepared(
        val generation: Long,
        val chunks: List<PlatformCall.Put>,
        val root: PlatformCall.Put,
        val difference: ConfigurationDifference,
    ) : EditResult

    /** A change with the same identifier was accepted earlier; [generation] includes it. */
    data class AlreadyApplied(val generation: Long) : EditResult

    /** The stored configuration already has the requested content, because of another change. */
    data class NothingToChange(val generation: Long) : EditResult

    /** The requested content cannot be accepted. */
    data class Invalid(val faults: List<InventoryFault>) : EditResult
}

/** Converts a requested change to the objects to write to the platform's store. */
object ConfigurationEdit {
    private const val MAXIMUM_IDENTIFIER_LENGTH = 128

    /** Validates [change] and prepares the objects that apply it to [stored]. */
    fun prepare(stored: StoredConfiguration, change: RequestedChange): EditResult {
        val changes = stored.root?.recentChanges.orEmpty()
        val configuration = stored.configuration.applying(change)
        val isLatest = change.identifier == changes.lastOrNull()
        val isReused = isLatest && !configuration.hasSameContentAs(stored.configuration)
        val faults = identifierFaults(change) + InventoryCheck.check(configuration.inventory, configuration.rules)
        val difference = ConfigurationDifference.between(stored.configuration, configuration)
        return when {
            isReused -> EditResult.Invalid(listOf(InventoryFault("change identifier", "another change has it already")))
            change.identifier in changes -> EditResult.AlreadyApplied(stored.configuration.generation)
            faults.isNotEmpty() -> EditResult.Invalid(faults)
            configuration.hasSameContentAs(stored.configuration) && stored.root != null ->
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

    private fun Configuration.hasSameContentAs(other: Configuration): Boolean =
        inventory == other.inventory && rules == other.rules
}
