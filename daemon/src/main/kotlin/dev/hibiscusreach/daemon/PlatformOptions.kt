package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.runtime.settings.EndpointText
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException
import java.nio.file.Path

/** The options that name the platform. */
internal class PlatformOptions {
    @Option(
        names = ["--platform"],
        paramLabel = "ADDRESS:PORT",
        converter = [EndpointConverter::class],
        description = ["An endpoint of the platform; may be given several times."],
    )
    var endpoints: List<Endpoint> = emptyList()

    @Option(names = ["--settings"], paramLabel = "FILE", description = ["A settings file that names the platform."])
    var settingsFile: Path? = null

    /** Runs [action] with a connection to the platform. */
    fun <T> use(action: (PlatformConfiguration) -> T): T {
        val addresses = endpoints.ifEmpty { settingsFile?.let { InputFiles.settings(it).addresses.platform }.orEmpty() }
        if (addresses.isEmpty()) invalidInput("name the platform with --platform or --settings")
        return PlatformConnection(addresses).use { action(PlatformConfiguration(it)) }
    }
}

/** Converts an option to an endpoint. */
internal class EndpointConverter : ITypeConverter<Endpoint> {
    override fun convert(value: String): Endpoint =
        EndpointText.parse(value) ?: throw TypeConversionException(EndpointText.REQUIRED_FORMAT)
}
