package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * Recognizes replicas that have taken over the term of the recorded primary without its log. A replaced primary that
 * was told to step down is one: its position may be ahead of the other replicas, and it lacks every commit of the term.
 */
internal object OldReplicaLog {
    /**
     * Whether [server] is such a replica. A replica that follows a primary without commits in its term reports the same
     * status; it is told apart by the primary's log position, as this proxy knows it, which it has received.
     */
    fun isFound(group: GroupView, change: PrimaryChange, server: ServerName): Boolean {
        val record = group.record?.takeIf { it.primary != server }
        val status = change.statuses[server]
        if (record == null || status == null) return false
        val hasOnlyTheTerm = status.term >= record.term && status.received.term < record.term
        val primaryPosition = primaryPosition(group, change)
        val hasPrimaryLog = primaryPosition != null && status.received >= primaryPosition
        return status.role == ServerRole.REPLICA && hasOnlyTheTerm && !hasPrimaryLog
    }

    // A sample from before the primary became known is a position of its predecessor.
    private fun primaryPosition(group: GroupView, change: PrimaryChange): Position? {
        val reported = group.record?.let { change.statuses[it.primary]?.received }
        val since = group.primarySince
        return reported ?: group.heads.lastOrNull { since != null && it.sentAt > since }?.position
    }
}
