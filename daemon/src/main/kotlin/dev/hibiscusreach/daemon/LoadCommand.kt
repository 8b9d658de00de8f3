package dev.hibiscusreach.daemon

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
        return platform.use(::load)
    }

    private fun load(platform: PlatformConfiguration): Int {
        val base = platform.read()
        val edited = files.applyTo(base.configuration)
        val expected = baseGeneration
        return when {
            change in base.root.recentChanges -> report("change $change is loaded already", base.root.generation)
            expected != null && expected != base.root.generation -> lost(edited, base)
            edited == base.configuration -> report("nothing to change", base.root.generation)
            else -> store(platform, base, edited.copy(generation = base.root.generation + 1))
        }
    }

    private fun store(platform: PlatformConfiguration, base: StoredConfiguration, edited: Configuration): Int =
        when (val result = platform.store(base, edited, change)) {
            is StoreResult.Accepted -> {
                printDifference(base.configuration, edited)
                report("loaded change $change", result.generation)
            }
            is StoreResult.Lost -> lost(base.configuration, result.current)
        }

    private fun lost(known: Configuration, current: StoredConfiguration): Int {
        spec.commandLine().err.println(
            "hibiscusreach: another edit came first, and generation ${current.root.generation} is in effect. " +
                "Nothing was changed. Differences to it:",
        )
        Difference.lines(known, current.configuration).forEach(spec.commandLine().err::println)
        return ExitCode.LOST_TO_CONCURRENT_EDIT
    }

    private fun printDifference(before: Configuration, after: Configuration) =
        Difference.lines(before, after).forEach(spec.commandLine().out::println)

    private fun report(message: String, generation: Long): Int {
        spec.commandLine().out.println("$message; generation $generation is in effect on the platform")
        return ExitCode.SUCCESS
    }
}
