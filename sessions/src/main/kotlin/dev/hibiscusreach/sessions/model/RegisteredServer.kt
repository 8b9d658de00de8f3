package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** A backend server as it registered itself. */
data class RegisteredServer(
    val name: ServerName,
    val group: GroupName,
    val endpoint: Endpoint,
    val failureDomain: FailureDomainName,
    /** Statements that the server runs at the same time. */
    val slots: Int,
    val leaving: Boolean,
    /** The role in which the server sees itself. */
    val role: ServerRole,
    /** Start of the server process, in milliseconds since the epoch; tells two runs of a server apart. */
    val startedAtMillis: Long,
)

/** What a server reports when it is asked for its status. */
data class ServerStatus(
    val role: ServerRole,
    val term: Term,
    /** Position up to which the server has received the log. */
    val received: Position,
)
