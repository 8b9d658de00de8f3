package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** Chooses the server that has received the most of the log. */
internal object SuccessorChoice {
    /** Asks all servers of the group for their status. */
    fun askStatus(turn: Reduction, group: GroupView) {
        val change = group.change ?: return
        val term = group.record?.term?.next() ?: return
        val pauses = pausesReplicas(turn, group, change)
        for (server in turn.servers(group.name)) {
            val isPrimary = server.name == group.record.primary
            val command = if (pauses && !isPrimary) ControlRequest.Pause(term.number) else ControlRequest.Status
            turn.emit(SessionEffect.SendControl(server, command))
        }
        turn.put(group.copy(change = change.copy(requestsSentAt = turn.now)))
    }

    /**
     * Whether the replicas are paused during the change. Paused replicas receive nothing more, so that no commit is
     * acknowledged beside the successor's log.
     */
    fun pausesReplicas(turn: Reduction, group: GroupView, change: PrimaryChange): Boolean =
        commitsWaitForReplicas(turn, group) && !change.reason.planned

    /** The registered servers of the group that do not lead it. */
    fun replicas(turn: Reduction, group: GroupView): List<RegisteredServer> =
        turn.servers(group.name).filter { it.name != group.record?.primary }

    /** The replica that has received the most, if it may take the group over. */
    fun successor(turn: Reduction, group: GroupView, change: PrimaryChange): ServerName? {
        val candidate =
            replicas(turn, group)
                .filter { !it.leaving && it.name !in change.rejected && it.name in change.statuses }
                .sortedBy { ServerSelection.cost(turn, it).value }
                .maxByOrNull { change.statuses.getValue(it.name).received }
                ?.name
        val waitedEnough = turn.now - change.phaseSince > turn.settings.changes.incompleteSuccessorDelay
        return candidate?.takeIf { waitedEnough || hasAllCommits(turn, group, change, it) }
    }

    /**
     * Whether [candidate] will have every acknowledged commit. Where commits wait for replicas, that is known only if
     * every replica has reported, or if the primary still reports how far its log goes: the successor then receives the
     * rest before it is promoted.
     */
    fun hasAllCommits(turn: Reduction, group: GroupView, change: PrimaryChange, candidate: ServerName): Boolean {
        val needsNoReplica = !commitsWaitForReplicas(turn, group) || isHandedOver(group, change)
        val record = group.record
        if (needsNoReplica || record == null) return needsNoReplica
        val holders = record.replicas + replicas(turn, group).map { it.name }
        val floor = record.floor
        val reached = floor == null || change.statuses.getValue(candidate).received >= floor
        return reached && holders.all { it in change.statuses }
    }

    /** Whether the primary has reported as such, so that it can hand its log over. */
    fun isHandedOver(group: GroupView, change: PrimaryChange): Boolean =
        group.record?.let { change.statuses[it.primary]?.role } == ServerRole.PRIMARY

    /** Whether the operators want commits of the group to be acknowledged only after replicas have received them. */
    fun commitsWaitForReplicas(turn: Reduction, group: GroupView): Boolean {
        val rule = turn.state.configuration?.groups?.get(group.name)
        return rule != null && rule.synchronousReplicas > 0
    }
}
