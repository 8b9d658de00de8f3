package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** Chooses the server that has received the most of the log. */
internal object SuccessorChoice {
    /** Asks all servers of the group for their status. */
    fun askStatus(turn: Turn, group: GroupView) {
        val change = group.change ?: return
        val rule = turn.state.configuration?.groups?.get(group.name)
        val term = group.record?.term?.next() ?: return
        // Paused replicas receive nothing more, so that no commit is acknowledged beside the successor's log.
        val pauses = (rule?.synchronousReplicas ?: 0) > 0 && !change.reason.planned
        for (server in servers(turn, group)) {
            val isPrimary = server.name == group.record.primary
            val command = if (pauses && !isPrimary) ControlRequest.Pause(term.number) else ControlRequest.Status
            turn.emit(SessionEffect.SendControl(server, command))
        }
        turn.put(group.copy(change = change.copy(repeatedAt = turn.now)))
    }

    /** The registered servers of the group. */
    fun servers(turn: Turn, group: GroupView): List<RegisteredServer> =
        turn.state.servers.values
            .map { it.server }
            .filter { it.group == group.name }

    // Where commits wait for replicas, the successor is known to have them all only if every replica has reported.
    fun successor(turn: Turn, group: GroupView, change: PrimaryChange): ServerName? {
        val rule = turn.state.configuration?.groups?.get(group.name)
        val replicas = servers(turn, group).filter { it.name != group.record?.primary }
        val allNeeded = (rule?.synchronousReplicas ?: 0) > 0
        if (allNeeded && replicas.any { it.name !in change.statuses }) return null
        return replicas
            .filter { !it.leaving && it.name !in change.rejected && it.name in change.statuses }
            .sortedBy { ServerSelection.cost(turn, it).value }
            .maxByOrNull { change.statuses.getValue(it.name).received }
            ?.name
    }
}
