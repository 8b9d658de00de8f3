package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.configuration.ConfigurationDifference
import dev.hibiscusreach.core.configuration.ConfigurationEdit
import dev.hibiscusreach.core.configuration.EditResult
import dev.hibiscusreach.core.configuration.RequestedChange
import dev.hibiscusreach.core.configuration.StoredConfiguration
import dev.hibiscusreach.core.model.Configuration
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.util.UUID
import java.util.concurrent.Callable

/** Loads an inventory and rules. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = [
        "Replaces the inventory, the rules or both on the platform with the content of files.",
        "What no file is named for stays as it is. The files are never changed.",
    ],
)
internal class LoadCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    val platform = PlatformOptions()

    @Mixin
    val files = ConfigurationFiles()

    @Option(
        names = ["--change"],
        paramLabel = "IDENTIFIER",
        description = ["Identifies the edit, so that loading it again with the same identifier changes nothing."],
    )
    var change: String = UUID.randomUUID().toString()

    @Option(
        names = ["--base"],
        paramLabel = "GENERATION",
        description = ["The generation that the files were made from; a later one makes the command fail."],
    )
    var baseGeneration: Long? = null

    override fun call(): Int {
        if (files.isEmpty) invalidInput("name at least one file to load")
        val requested = files.read(change)
        return platform.use { load(it, requested) }
    }

    private fun load(platform: PlatformConfiguration, requested: RequestedChange): Int {
        val base = platform.read()
        val prepared = ConfigurationEdit.prepare(base, requested)
        val otherBase = baseGeneration != null && baseGeneration != base.configuration.generation
        return when (prepared) {
            is EditResult.AlreadyApplied -> report("change $change is loaded already", prepared.generation)
            is EditResult.Invalid -> invalidInput(files.describe(prepared.faults))
            is EditResult.NothingToChange -> report("nothing to change", prepared.generation)
            is EditResult.Prepared ->
                if (otherBase) lost(files.applyTo(base.configuration), base) else store(platform, base, prepared)
        }
    }

    private fun store(platform: PlatformConfiguration, base: StoredConfiguration, prepared: EditResult.Prepared): Int =
        when (val result = platform.store(prepared, change)) {
            is StoreResult.Accepted -> {
                spec.commandLine().out.println(prepared.difference)
                report("loaded change $change", prepared.generation)
            }
            is StoreResult.Lost -> lost(base.configuration, result.current)
        }

    private fun lost(known: Configuration, current: StoredConfiguration): Int {
        val generation = current.configuration.generation
        spec.commandLine().err.println(
            "hibiscusreach: another edit came first, and generation $generation is in effect. " +
                "Nothing was changed. Differences to it:",
        )
        spec.commandLine().err.println(ConfigurationDifference.between(known, current.configuration))
        return ExitCode.LOST_TO_CONCURRENT_EDIT
    }

    private fun report(message: String, generation: Long): Int {
        spec.commandLine().out.println("$message; generation $generation is in effect on the platform")
        return ExitCode.SUCCESS
    }
}
