package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Rules
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
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

    @Option(
        names = ["--part"],
        paramLabel = "PART",
        description = ["Only 'inventory' or 'rules', in the form of the files that load reads."],
    )
    var part: Part = Part.ALL

    /** What to print. */
    enum class Part { ALL, INVENTORY, RULES }

    override fun call(): Int {
        val stored = platform.use(PlatformConfiguration::read)
        spec.commandLine().out.println(text(stored.configuration))
        return ExitCode.SUCCESS
    }

    private fun text(configuration: Configuration): String =
        when (part) {
            Part.ALL -> json.encodeToString(Configuration.serializer(), configuration)
            Part.INVENTORY -> json.encodeToString(Inventory.serializer(), configuration.inventory)
            Part.RULES -> json.encodeToString(Rules.serializer(), configuration.rules)
        }

    private companion object {
        val json =
            Json {
                prettyPrint = true
                encodeDefaults = true
            }
    }
}
