package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.configuration.ConfigurationDifference
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Compares files with the configuration on the platform. */
@Command(
    name = "diff",
    mixinStandardHelpOptions = true,
    description = ["Prints what loading the files would change on the platform."],
)
internal class DiffCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    val platform = PlatformOptions()

    @Mixin
    val files = ConfigurationFiles()

    override fun call(): Int {
        if (files.isEmpty) invalidInput("name at least one file to compare")
        val stored = platform.use(PlatformConfiguration::read)
        val difference =
            ConfigurationDifference.between(stored.configuration, files.applyTo(stored.configuration))
        if (!difference.isEmpty) spec.commandLine().out.println(difference)
        return if (difference.isEmpty) ExitCode.SUCCESS else ExitCode.DIFFERENT
    }
}
