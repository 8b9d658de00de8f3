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
    /** Maximum number of statements that the server runs concurrently. */
    val slots: Int,
    val leaving: Boolean,
    /** The role that the server reports. */
    val role: ServerRole,
    /** Start of the server process in Unix milliseconds; a restart of the server changes it. */
    val startedAtMillis: Long,
)

/** The status that a server reports. */
data class ServerStatus(
    val role: ServerRole,
    val term: Term,
    /** Position up to which the server has received the log. */
    val received: Position,
)
