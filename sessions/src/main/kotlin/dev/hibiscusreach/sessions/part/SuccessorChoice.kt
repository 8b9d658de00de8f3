package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** Chooses the replica that has received the most of the log as the successor of a primary. */
internal object SuccessorChoice {
    /** Asks all servers of the group for their status, and pauses the replicas if [pausesReplicas]. */
    fun requestStatuses(reduction: Reduction, group: GroupView) {
        val change = group.change ?: return
        val term = group.record?.term?.next() ?: return
        val pauses = pausesReplicas(reduction, group, change)
        for (server in reduction.servers(group.name)) {
            val isPrimary = server.name == group.record.primary
            val command = if (pauses && !isPrimary) ControlRequest.Pause(term.number) else ControlRequest.Status
            reduction.emit(SessionEffect.SendControl(server, command))
        }
        reduction.put(group.copy(change = change.copy(requestsSentAt = reduction.now)))
    }

    /**
     * Whether the replicas are paused during the change. A paused replica receives nothing more from the old primary,
     * so that no commit is acknowledged that the successor's log lacks.
     */
    fun pausesReplicas(reduction: Reduction, group: GroupView, change: PrimaryChange): Boolean =
        isReplicationSynchronous(reduction, group) && !change.reason.planned

    /** The registered servers of the group except its recorded primary. */
    fun replicas(reduction: Reduction, group: GroupView): List<RegisteredServer> =
        reduction.servers(group.name).filter { it.name != group.record?.primary }

    /**
     * The server whose promotion may still take effect, the recorded primary if it has to be promoted anew, or else the
     * most advanced eligible replica; null until it has all commits or `incompleteSuccessorDelay` has passed.
     */
    fun findSuccessor(reduction: Reduction, group: GroupView, change: PrimaryChange): ServerName? {
        val requested =
            SuccessorRecording.outstanding(reduction, group, change)
                ?: IncumbentPromotion.candidate(reduction, group, change)
        val candidate =
            reduction
                .servers(group.name)
                .filter { requested == null || it.name == requested }
                .filter { it.name == requested || isEligible(group, change, it) }
                .filter { it.name !in change.rejected && it.name in change.statuses }
                .sortedBy { ServerSelection.cost(reduction, it).value }
                .maxWithOrNull(
                    compareBy(
                        { !leadsEarlierTerm(group, change, it.name) },
                        { !OldReplicaLog.isFound(group, change, it.name) },
                        { change.statuses[it.name]?.received },
                    ),
                )
                ?.name
                ?: IncumbentPromotion.candidate(reduction, group, change.copy(rejected = emptySet()))
        val delayElapsed = reduction.now - change.phaseSince > reduction.settings.changes.incompleteSuccessorDelay
        return candidate?.takeIf { delayElapsed || hasAllCommits(reduction, group, change, it) }
    }

    // The recorded primary is a replica like the others once it follows another server.
    private fun isEligible(group: GroupView, change: PrimaryChange, server: RegisteredServer): Boolean {
        val isReplica = change.statuses[server.name]?.role == ServerRole.REPLICA
        return !server.leaving && (isReplica || server.name != group.record?.primary)
    }

    // A server that still leads an earlier term has not followed the recorded primary, whatever its position is.
    private fun leadsEarlierTerm(group: GroupView, change: PrimaryChange, server: ServerName): Boolean =
        server != group.record?.primary && change.statuses[server]?.role == ServerRole.PRIMARY

    /**
     * Whether [candidate] will have every acknowledged commit. One that has not followed the primary lacks some. With
     * synchronous replication, it is known only if every replica has reported, or if the primary still reports its log
     * position: the successor then receives the rest of the log before it is promoted.
     */
    fun hasAllCommits(reduction: Reduction, group: GroupView, change: PrimaryChange, candidate: ServerName): Boolean {
        val record = group.record
        return when {
            record == null || leadsEarlierTerm(group, change, candidate) -> false
            isIncumbentReporting(group, change) -> true
            isReplicationSynchronous(
                reduction,
                group
            ) -> areReportsComplete(reduction, group, change, record, candidate)
            // The proxy that recorded the successor has examined its log.
            candidate == SuccessorRecording.outstanding(reduction, group, change) -> true
            else -> !OldReplicaLog.isFound(group, change, candidate)
        }
    }

    private fun areReportsComplete(
        reduction: Reduction,
        group: GroupView,
        change: PrimaryChange,
        record: FleetRecord.Group,
        candidate: ServerName,
    ): Boolean {
        val registered = replicas(reduction, group)
        val requiredReplicas = record.replicas + registered.map { it.name }
        val isEveryLogPresent = registered.all { DepartedReplicas.isRecordedStart(record, it) }
        val reachesFloor = record.floor == null || change.statuses.getValue(candidate).received >= record.floor
        return reachesFloor && isEveryLogPresent && requiredReplicas.all { it in change.statuses }
    }

    /** Whether the recorded primary has reported the primary role, so that the successor can catch up with it. */
    fun isIncumbentReporting(group: GroupView, change: PrimaryChange): Boolean =
        group.record?.let { change.statuses[it.primary]?.role } == ServerRole.PRIMARY

    /** Whether the configuration requires that replicas receive a commit before it is acknowledged. */
    fun isReplicationSynchronous(reduction: Reduction, group: GroupView): Boolean {
        val rule = reduction.state.configuration?.groups?.get(group.name)
        return rule != null && rule.synchronousReplicas > 0
    }
}
