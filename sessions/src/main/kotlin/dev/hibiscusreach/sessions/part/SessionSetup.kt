package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Restores a session's values and prepared statement on a pooled connection that another session may have used. */
internal object SessionSetup {
    /**
     * The setup statements to send before [statement], and the state of the connection after them. Values of another
     * session need a reset, which also clears the prepared statements.
     */
    fun statements(
        connection: ServerConnection,
        session: Session,
        statement: ServerStatement?,
    ): Pair<ServerConnection, List<ServerStatement>> {
        val mustReset = connection.values.keys.any { it !in session.values }
        val base =
            if (mustReset) connection.copy(values = persistentMapOf(), prepared = persistentSetOf()) else connection
        val reset = if (mustReset) listOf(ServerStatement.Reset) else emptyList()
        val values =
            session.values
                .filter { (name, value) -> base.values[name] != value }
                .map { (name, value) -> ServerStatement.SetValue(name, value) }
        val unprepared = (statement as? ServerStatement.Execute)?.prepared?.takeIf { it !in base.prepared }
        val prepare = listOfNotNull(unprepared?.let { ServerStatement.Prepare(it) })
        val prepared = if (unprepared == null) base.prepared else base.prepared.add(unprepared)
        return base.copy(values = session.values, prepared = prepared) to reset + values + prepare
    }
}
