package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * Keeps in the group's record what a successor of its primary must have, where commits wait for replicas: the replicas
 * that may be the only ones with an acknowledged commit, and the position that covers those whose log is gone. The
 * record is the only source of that for a process which starts after a replica was removed or restarted.
 */
internal object CommitRequirements {
    /** Adds to [record] the replicas that must report and the log position that the successor must reach. */
    fun addTo(reduction: Reduction, group: GroupView, record: FleetRecord.Group): FleetRecord.Group {
        if (!SuccessorChoice.isReplicationSynchronous(reduction, group)) return record
        val present = reduction.servers(group.name).filter { reduction.state.servers[it.name]?.missingSince == null }
        val named = record.replicas - group.covered + present.map { it.name } + group.departed.keys - record.primary
        val ended = group.departed.mapValues { it.value.startedAtMillis ?: record.replicaStarts[it.key] }
        val starts = record.replicaStarts + present.associate { it.name to it.startedAtMillis } + ended
        val floor = listOfNotNull(record.floor, group.departedFloor).maxOrNull()
        return record.copy(replicas = named, replicaStarts = startsOf(named, starts), floor = floor)
    }

    // In the order of the names, so that equal requirements have equal encodings.
    private fun startsOf(names: Set<ServerName>, starts: Map<ServerName, Long?>): Map<ServerName, Long> =
        names.sortedBy { it.value }.mapNotNull { name -> starts[name]?.let { name to it } }.toMap()

    /**
     * Adds the requirements to the record that ends [change]. In the same term they stay. In a later one the primary
     * may be the only server with the commits of the earlier terms, so that its own successor must reach its position.
     */
    fun addToPublished(
        reduction: Reduction,
        group: GroupView,
        change: PrimaryChange,
        published: FleetRecord.Group,
    ): FleetRecord.Group {
        val known = group.record
        return if (known != null && published.term == known.term) {
            addTo(reduction, group, withRequirementsOf(known, published))
        } else {
            val position = change.statuses[published.primary]?.received
            val promoted = DepartedReplicas.forget(group).copy(departedFloor = position)
            addTo(reduction, promoted, published)
        }
    }

    /** Writes the requirements to the record of [group] if they differ and no change of primary is in progress. */
    fun review(reduction: Reduction, known: GroupView) {
        val group = DepartedReplicas.markUnknown(reduction, known)
        val record = group.record ?: return
        val rank = ProxyRanking.ownRank(reduction, group.name)
        val required = addTo(reduction, group, record)
        val delay = reduction.settings.changes.rankDelay * (rank ?: 0)
        val due = group.requirementsDue ?: (reduction.now + delay)
        when {
            required == record -> if (group.requirementsDue != null) reduction.put(group.copy(requirementsDue = null))
            rank == null || !mayWrite(reduction, group) -> Unit
            reduction.now >= due -> write(reduction, group, required)
            else -> reduction.put(group.copy(requirementsDue = due))
        }
    }

    private fun mayWrite(reduction: Reduction, group: GroupView): Boolean =
        group.verified && !PrimaryStatus.isChanging(group) && GroupRecordRepair.isRecorded(reduction, group) &&
            !reduction.state.fleet.storeLost

    private fun write(reduction: Reduction, group: GroupView, required: FleetRecord.Group) {
        reduction.log(
            "commit requirements written",
            "group" to group.name,
            "replicas" to required.replicas,
            "starts" to required.replicaStarts.values,
            "departed" to group.departed.keys,
            "floor" to required.floor,
            "revision" to group.revision,
        )
        reduction.put(group.copy(requirementsDue = reduction.now + reduction.settings.changes.retryPause))
        reduction.emit(SessionEffect.WriteFleet(FleetKey.group(group.name), required, group.revision))
    }

    /** Whether [record] differs from the known record of a stable group in its requirements only, and is later. */
    fun isUpdate(group: GroupView, record: FleetRecord.Group, revision: Revision): Boolean {
        val known = group.record?.takeIf { it.changedBy == null } ?: return false
        val isSameOtherwise = withRequirementsOf(record, known) == record
        return known != record && isSameOtherwise && revision > group.revision
    }

    private fun withRequirementsOf(source: FleetRecord.Group, record: FleetRecord.Group): FleetRecord.Group =
        record.copy(replicas = source.replicas, replicaStarts = source.replicaStarts, floor = source.floor)

    /** Adopts the requirements of [record]. A change whose intent was sent for the earlier revision begins anew. */
    fun adopt(reduction: Reduction, group: GroupView, record: FleetRecord.Group, revision: Revision) {
        reduction.log(
            "commit requirements",
            "group" to group.name,
            "replicas" to record.replicas,
            "floor" to record.floor,
            "revision" to revision,
        )
        val current = DepartedReplicas.applyRecord(group, known = group.record, record = record)
        reduction.put(current.copy(record = record, revision = revision, change = null))
    }
}
