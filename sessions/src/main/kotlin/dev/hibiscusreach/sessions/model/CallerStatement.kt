package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.Access
import kotlinx.serialization.Serializable

/** A statement of a caller's session, decoded from the caller's protocol. */
sealed interface CallerStatement {
    /** Opens a transaction; one that only reads may run on a replica. */
    data class Begin(val readOnly: Boolean) : CallerStatement

    /** Commits the open transaction. */
    data object Commit : CallerStatement

    /** Rolls the open transaction back. */
    data object Rollback : CallerStatement

    /** Sets a session value. */
    data class SetValue(val name: String, val value: String) : CallerStatement

    /** Prepares a statement as [name] within the session. */
    data class Prepare(val name: String, val prepared: PreparedStatement) : CallerStatement

    /** Removes the statement prepared as [name] from the session. */
    data class Deallocate(val name: String) : CallerStatement

    /** Runs [text] unchanged at a server. */
    data class Run(val access: Access, val text: String) : CallerStatement

    /** Runs the statement prepared as [name]. */
    data class Execute(val name: String, val arguments: String) : CallerStatement

    /** A statement whose text was not kept, for the [reason] that is told to the caller. It may be tried again. */
    data class Dropped(val reason: String) : CallerStatement

    /** Text that is no valid statement; [reason] is told to the caller. */
    data class Unknown(val reason: String) : CallerStatement
}

/** A prepared statement without its arguments. */
@Serializable
data class PreparedStatement(val access: Access, val text: String)
