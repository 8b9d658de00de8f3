package dev.hibiscusreach.daemon

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.IVersionProvider
import kotlin.system.exitProcess

/** The command line `hibiscusreach`. */
@Command(
    name = "hibiscusreach",
    mixinStandardHelpOptions = true,
    versionProvider = ProductVersion::class,
    description = ["A database proxy with session consistency."],
    subcommands = [
        RunCommand::class,
        CheckCommand::class,
        LoadCommand::class,
        ShowCommand::class,
        DiffCommand::class,
        DumpCommand::class,
    ],
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = [
        "0:success; for run: drained completely",
        "1:a defect of the program",
        "2:invalid arguments, settings, inventory or rules",
        "3:an address cannot be listened at",
        "4:the platform or process cannot be reached, or gave no usable answer",
        "5:load: a concurrent edit came first; nothing was changed",
        "6:run: the process ended before all requests were answered",
        "7:diff: there are differences",
    ],
)
internal class Main : Runnable {
    override fun run(): Unit = CommandLine.usage(this, System.out)

    companion object {
        /** The command line with its error handling. */
        fun commandLine(): CommandLine =
            CommandLine(Main())
                .setExecutionExceptionHandler { failure, commandLine, _ -> report(failure, commandLine) }

        private fun report(failure: Exception, commandLine: CommandLine): Int {
            if (failure !is CommandFailure) throw failure
            commandLine.err.println("hibiscusreach: ${failure.message}")
            return failure.exitCode
        }
    }
}

/** Reads the version from the program's archive. */
internal class ProductVersion : IVersionProvider {
    override fun getVersion(): Array<String> =
        arrayOf("hibiscusreach ${Main::class.java.`package`.implementationVersion ?: "development build"}")
}

/** Runs the command line and ends the process with its exit code. */
fun main(arguments: Array<String>) {
    LogSetup.forCommands()
    @Suppress("SpreadOperator") // The arguments are few and copied once.
    exitProcess(Main.commandLine().execute(*arguments))
}
