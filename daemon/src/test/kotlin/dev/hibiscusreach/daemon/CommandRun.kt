package dev.hibiscusreach.daemon

import java.io.PrintWriter
import java.io.StringWriter

/** The result of one run of the command line. */
internal class CommandRun(val exitCode: Int, val output: String, val errors: String) {
    companion object {
        fun of(vararg arguments: Any): CommandRun {
            val output = StringWriter()
            val errors = StringWriter()
            val exitCode =
                Main
                    .commandLine()
                    .setOut(PrintWriter(output, true))
                    .setErr(PrintWriter(errors, true))
                    .execute(*arguments.map(Any::toString).toTypedArray())
            return CommandRun(exitCode, output.toString(), errors.toString())
        }
    }
}
