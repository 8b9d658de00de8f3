package dev.hibiscusreach.standins.command

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.standins.slopes.SlopesCommand
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Runs one of the subcommands. */
@Suppress("SpreadOperator") // picocli takes the arguments only as varargs.
fun main(arguments: Array<String>) {
    (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).level = Level.WARN
    exitProcess(commandLine().execute(*arguments))
}

/** The command line of all stand-ins. */
internal fun commandLine(): CommandLine =
    CommandLine(StandinsCommand())
        .registerConverter(Endpoint::class.java, EndpointOption)
        .registerConverter(ServerOption::class.java, ServerOption.Converter)

@Command(
    name = "standins",
    mixinStandardHelpOptions = true,
    description = ["Stand-ins of the outside systems and the experiment driver of hibiscusreach."],
    subcommands = [
        PlatformCommand::class,
        ServerCommand::class,
        AdminCommand::class,
        PortsCommand::class,
        CallCommand::class,
        TransactionCommand::class,
        DriveCommand::class,
        IdleCommand::class,
        SlopesCommand::class,
    ],
)
internal class StandinsCommand
