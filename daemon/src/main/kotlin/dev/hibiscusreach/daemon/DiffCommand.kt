package dev.hibiscusreach.daemon

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
        val lines = Difference.lines(stored.configuration, files.applyTo(stored.configuration))
        lines.forEach(spec.commandLine().out::println)
        return if (lines.isEmpty()) ExitCode.SUCCESS else ExitCode.DIFFERENT
    }
}
