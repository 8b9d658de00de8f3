package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.Position

/** A statement sent to a backend server. */
sealed interface ServerStatement {
    /** Clears session values and prepared statements. */
    data object Reset : ServerStatement

    /** Sets a session value. */
    data class SetValue(val name: String, val value: String) : ServerStatement

    /** Prepares a statement under a name that is derived from its content, so that sessions can share it. */
    data class Prepare(val prepared: PreparedStatement) : ServerStatement

    /** Opens a transaction at a server that has applied [minimumPosition]. */
    data class Begin(val readOnly: Boolean, val minimumPosition: Position?) : ServerStatement

    /** Rolls the open transaction back. */
    data object Rollback : ServerStatement

    /** Asks for the server's status. */
    data object Status : ServerStatement

    /** A caller's commit under the caller's identifier. */
    data class Commit(val identifier: String) : ServerStatement

    /** A caller's text, unchanged. */
    data class Run(val identifier: String, val text: String, val minimumPosition: Position?) : ServerStatement

    /** A caller's execution of a prepared statement. */
    data class Execute(
        val identifier: String,
        val prepared: PreparedStatement,
        val arguments: String,
        val minimumPosition: Position?,
    ) : ServerStatement
}

/** Transaction state of a connection, as the server reports it. */
enum class TransactionStatus { NONE, OPEN, FAILED }

/** Kinds of failure that a server reports. */
enum class ServerFailure(
    /** Whether the statement is known not to have run. */
    val notRun: Boolean,
) {
    OVERLOADED(notRun = true),
    BEHIND(notRun = true),
    NOT_PRIMARY(notRun = true),
    NOT_PREPARED(notRun = true),
    WRONG_SERVER(notRun = true),
    CONNECTION_LIMIT(notRun = true),
    FAILED(notRun = false),
    TIMED_OUT(notRun = false),
    OTHER(notRun = false),
}

/** A server's answer to one statement. */
data class ServerAnswer(
    val rows: List<String>,
    val result: Result,
    val status: TransactionStatus,
    /** Position of the server's log when it answered; null if it reported none. */
    val position: Position?,
) {
    /** How the statement ended. */
    sealed interface Result {
        /** The statement was carried out; the server's [proof] is passed to the caller unchanged. */
        data class Completed(val proof: String) : Result

        /** The statement failed; [code] and [message] are passed to the caller unchanged. */
        data class Failed(val failure: ServerFailure, val code: String, val message: String) : Result
    }
}
