package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.Configuration
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Prints the configuration on the platform. */
@Command(
    name = "show",
    mixinStandardHelpOptions = true,
    description = ["Prints the configuration on the platform as JSON."],
)
internal class ShowCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    val platform = PlatformOptions()

    override fun call(): Int {
        val stored = platform.use(PlatformConfiguration::read)
        spec.commandLine().out.println(json.encodeToString(Configuration.serializer(), stored.configuration))
        return ExitCode.SUCCESS
    }

    private companion object {
        val json =
            Json {
                prettyPrint = true
                encodeDefaults = true
            }
    }
}
