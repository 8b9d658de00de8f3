package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.Configuration
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.nio.file.Path
import java.util.concurrent.Callable

/** Checks files without contacting anything. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = ["Checks settings, inventory and rules offline."],
)
internal class CheckCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Option(names = ["--settings"], paramLabel = "FILE", description = ["The settings file."])
    var settingsFile: Path? = null

    @Mixin
    val files = ConfigurationFiles()

    override fun call(): Int {
        if (settingsFile == null && files.isEmpty) invalidInput("name at least one file to check")
        settingsFile?.let(InputFiles::settings)
        val configuration = files.applyTo(Configuration())
        val inventory = configuration.inventory
        spec.commandLine().out.println(
            "valid: ${inventory.databaseGroups.size} databases, " +
                "${inventory.databaseGroups.sumOf { it.servers.size }} servers, " +
                "${inventory.callers.size} callers, ${configuration.rules.callers.size} caller rules",
        )
        return ExitCode.SUCCESS
    }
}
