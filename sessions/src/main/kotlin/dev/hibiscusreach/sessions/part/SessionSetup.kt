package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Brings the values and prepared shapes of a session to a connection that another session has used. */
internal object SessionSetup {
    /** The statements to send before [statement], and the connection as it is after them. */
    fun statements(
        connection: ServerConnection,
        session: Session,
        statement: ServerStatement?,
    ): Pair<ServerConnection, List<ServerStatement>> {
        val foreign = connection.values.keys.any { it !in session.values }
        val base =
            if (foreign) connection.copy(values = persistentMapOf(), prepared = persistentSetOf()) else connection
        val reset = if (foreign) listOf(ServerStatement.Reset) else emptyList()
        val values =
            session.values
                .filter { (name, value) -> base.values[name] != value }
                .map { (name, value) -> ServerStatement.SetValue(name, value) }
        val shape = (statement as? ServerStatement.Execute)?.prepared?.takeIf { it !in base.prepared }
        val prepare = listOfNotNull(shape?.let { ServerStatement.Prepare(it) })
        val prepared = if (shape == null) base.prepared else base.prepared.add(shape)
        return base.copy(values = session.values, prepared = prepared) to reset + values + prepare
    }
}
