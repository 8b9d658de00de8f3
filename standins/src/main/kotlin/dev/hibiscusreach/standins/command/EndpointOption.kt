package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Endpoint
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.TypeConversionException

/** Reads an endpoint written as `HOST:PORT`. */
internal object EndpointOption : ITypeConverter<Endpoint> {
    private const val MAXIMUM_PORT = 65_535

    override fun convert(value: String): Endpoint {
        val port = value.substringAfterLast(':', missingDelimiterValue = "").toIntOrNull()
        if (port == null || port !in 0..MAXIMUM_PORT) throw TypeConversionException("'$value' is not HOST:PORT")
        return Endpoint(value.substringBeforeLast(':'), port)
    }
}
