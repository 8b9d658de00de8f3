package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.configuration.InventoryCheck
import dev.hibiscusreach.core.configuration.InventoryFault
import dev.hibiscusreach.core.configuration.RequestedChange
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules
import picocli.CommandLine.Option
import java.nio.file.Path

/** The options that name the files of inventory and rules. */
internal class ConfigurationFiles {
    @Option(names = ["--inventory"], paramLabel = "FILE", description = ["The inventory, JSON with comments."])
    var inventory: Path? = null

    @Option(names = ["--servers-csv"], paramLabel = "FILE", description = ["The inventory's servers, CSV."])
    var servers: Path? = null

    @Option(names = ["--callers-csv"], paramLabel = "FILE", description = ["The inventory's callers, CSV."])
    var callers: Path? = null

    @Option(names = ["--rules"], paramLabel = "FILE", description = ["The rules, JSON with comments."])
    var rules: Path? = null

    /** Whether no file is named. */
    val isEmpty: Boolean get() = listOf(inventory, servers, callers, rules).all { it == null }

    /** The change that loads the files. */
    fun read(identifier: String): RequestedChange {
        if ((servers == null) != (callers == null)) invalidInput("--servers-csv and --callers-csv belong together")
        if (inventory != null && servers != null) invalidInput("--inventory and --servers-csv exclude each other")
        return RequestedChange(identifier, readInventory(), readRules())
    }

    /** [base] with the parts that the files give in place of its own. Fails if the result is not valid. */
    fun applyTo(base: Configuration): Configuration {
        val change = read(identifier = "")
        val result = base.copy(inventory = change.inventory ?: base.inventory, rules = change.rules ?: base.rules)
        val faults = InventoryCheck.check(result.inventory, result.rules)
        if (faults.isNotEmpty()) invalidInput(describe(faults))
        return result
    }

    /** One line for each fault, with the file and line that it is in. */
    fun describe(faults: List<InventoryFault>): String = faults.joinToString("\n", transform = ::describe)

    private fun readInventory(): Inventory? {
        val serversFile = servers
        val callersFile = callers
        return when {
            serversFile != null && callersFile != null -> InventoryTables.read(serversFile, callersFile)
            else -> inventory?.let { InputFiles.json(it, Inventory.serializer()) }
        }
    }

    private fun readRules(): Rules? = rules?.let { InputFiles.json(it, Rules.serializer()) }

    private fun describe(fault: InventoryFault): String {
        val file =
            when {
                fault.subject.startsWith("rule ") -> rules
                fault.subject.startsWith("caller ") -> inventory ?: callers
                else -> inventory ?: servers
            }
        val line = file?.let { line(it, fault.subject.substringBefore(',').substringAfterLast(' ')) }
        return listOfNotNull(file, line?.let { "line $it" }, fault).joinToString()
    }

    // The name of a faulty entry first stands where the entry is defined, except for domains and callers without one.
    private fun line(file: Path, name: String): Int? {
        val pattern = Regex("(?<![\\w.-])${Regex.escape(name)}(?![\\w.-])")
        val index = InputFiles.text(file).lineSequence().indexOfFirst { pattern.containsMatchIn(it) }
        return if (index < 0) null else index + 1
    }
}
