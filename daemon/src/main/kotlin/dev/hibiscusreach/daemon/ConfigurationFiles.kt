package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules
import dev.hibiscusreach.runtime.settings.JsonLines
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

    /** [base] with the parts that the files give in place of its own. Fails if the result is not valid. */
    fun applyTo(base: Configuration): Configuration {
        checkOptions()
        val result = base.copy(inventory = readInventory() ?: base.inventory, rules = readRules() ?: base.rules)
        val faults = ConfigurationCheck.faults(result)
        if (faults.isNotEmpty()) invalidInput(faults.joinToString("\n", transform = ::describe))
        return result
    }

    private fun checkOptions() {
        if ((servers == null) != (callers == null)) invalidInput("--servers-csv and --callers-csv belong together")
        if (inventory != null && servers != null) invalidInput("--inventory and --servers-csv exclude each other")
    }

    private fun readInventory(): Inventory? {
        val serversFile = servers
        val callersFile = callers
        return when {
            serversFile != null && callersFile != null -> InventoryTables.read(serversFile, callersFile)
            else -> inventory?.let { InputFiles.json(it, Inventory.serializer()) }
        }
    }

    private fun readRules(): Rules? = rules?.let { InputFiles.json(it, Rules.serializer()) }

    private fun describe(fault: ConfigurationFault): String {
        val file = if (fault.inRules) rules else inventory
        val line = file?.let { JsonLines(InputFiles.text(it)).lineOf(fault.path) }
        val place = listOfNotNull(file ?: servers, line?.let { "line $it" }, fault.path).joinToString()
        return "$place: ${fault.message}"
    }
}
