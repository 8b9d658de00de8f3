package dev.hibiscusreach.daemon

/** Exit codes of the command line. */
internal object ExitCode {
    const val SUCCESS = 0
    const val DEFECT = 1
    const val INVALID_INPUT = 2
    const val ADDRESS_IN_USE = 3
    const val UNREACHABLE = 4
    const val LOST_TO_CONCURRENT_EDIT = 5
    const val INTERRUPTED = 6
    const val DIFFERENT = 7
}

/** Ends a command with a message for the operator and an exit code. */
internal class CommandFailure(val exitCode: Int, message: String, cause: Exception? = null) :
    Exception(message, cause)

/** A [CommandFailure] because of files or arguments. */
internal fun invalidInput(message: String): Nothing = throw CommandFailure(ExitCode.INVALID_INPUT, message)
