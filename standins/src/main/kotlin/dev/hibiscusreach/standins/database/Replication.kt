package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.serialization.Serializable

/** What a replica asks of the primary that it follows. */
@Serializable
data class ReplicationRequest(
    val replica: ServerName,
    val primary: ServerName,
    val term: Term,
    /** Some of the replica's log positions, newest first. */
    val positions: List<Position>,
)

/** Entries that follow the newest position that primary and replica have in common. */
@Serializable
data class ReplicationAnswer(val primary: ServerName, val term: Term, val entries: List<LogEntry>)
