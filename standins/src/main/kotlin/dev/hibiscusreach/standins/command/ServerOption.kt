package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.standins.network.ServerPorts
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.TypeConversionException

/** One server written as `NAME=SESSION,CONTROL,ADMIN`, with the numbers of its ports on 127.0.0.1. */
internal class ServerOption(val name: ServerName, val ports: ServerPorts) {
    object Converter : ITypeConverter<ServerOption> {
        override fun convert(value: String): ServerOption {
            val ports = value.substringAfter('=', missingDelimiterValue = "").split(',').map { it.toIntOrNull() }
            if (ports.size != PORT_COUNT || null in ports) {
                throw TypeConversionException("'$value' is not NAME=SESSION,CONTROL,ADMIN")
            }
            val (session, control, admin) = ports.filterNotNull().map { Endpoint("127.0.0.1", it) }
            return ServerOption(ServerName(value.substringBefore('=')), ServerPorts(session, control, admin))
        }
    }

    private companion object {
        const val PORT_COUNT = 3
    }
}
