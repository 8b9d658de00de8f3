package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.PreparedStatement
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Restores a session's values and prepared statement on a pooled connection that another session may have used. */
internal object SessionSetup {
    /**
     * The setup statements to send before [statement], and the state of the connection after them. Values of another
     * session need a reset, which also clears the prepared statements; so do prepared statements above [limit] bytes.
     */
    fun statements(
        connection: ServerConnection,
        session: Session,
        statement: ServerStatement?,
        limit: Int,
    ): Pair<ServerConnection, List<ServerStatement>> {
        val wanted = (statement as? ServerStatement.Execute)?.prepared
        val isFull = wanted != null && wanted !in connection.prepared && !hasRoom(connection, wanted, limit)
        // A transaction would not survive a reset, so its connection may exceed the limit until the next one.
        val mustReset =
            connection.values.keys.any { it !in session.values } || isFull && session.running == null
        val base =
            if (mustReset) {
                connection.copy(values = persistentMapOf(), prepared = persistentSetOf(), preparedBytes = 0)
            } else {
                connection
            }
        val reset = if (mustReset) listOf(ServerStatement.Reset) else emptyList()
        val values =
            session.values
                .filter { (name, value) -> base.values[name] != value }
                .map { (name, value) -> ServerStatement.SetValue(name, value) }
        val unprepared = wanted?.takeIf { it !in base.prepared }
        val prepare = listOfNotNull(unprepared?.let { ServerStatement.Prepare(it) })
        val next = base.copy(values = session.values)
        val remembered = if (unprepared == null) next else remember(next, unprepared)
        return remembered to reset + values + prepare
    }

    private fun hasRoom(connection: ServerConnection, statement: PreparedStatement, limit: Int) =
        connection.prepared.isEmpty() || connection.preparedBytes + bytes(statement) <= limit

    private fun remember(connection: ServerConnection, statement: PreparedStatement) =
        connection.copy(
            prepared = connection.prepared.add(statement),
            preparedBytes = connection.preparedBytes + bytes(statement),
        )

    private fun bytes(statement: PreparedStatement) = ENTRY_BYTES + statement.text.length

    /** What a prepared statement takes besides its text. */
    private const val ENTRY_BYTES = 64
}
