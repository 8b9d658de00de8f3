package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.Departure
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.HeadSample

/**
 * Tracks replicas whose log is gone, since they were removed or started again. With synchronous replication, such a
 * replica may be the only one that has received a commit, until another replica has received the primary's log up to a
 * later position.
 */
internal object DepartedReplicas {
    /** Records that the process of [server] has ended, unless it is the group's primary. */
    fun markDeparted(reduction: Reduction, server: RegisteredServer) {
        val group = reduction.group(server.group)
        if (group.record != null && group.record.primary != server.name) {
            val departure = Departure(reduction.now, server.startedAtMillis)
            reduction.put(group.copy(departed = group.departed + (server.name to departure)))
        }
    }

    /** Records that [server], as registered before, has started again, and discards the status that it reported. */
    fun markRestarted(reduction: Reduction, server: RegisteredServer) {
        markDeparted(reduction, server)
        val group = reduction.group(server.group)
        val change = group.change ?: return
        reduction.put(group.copy(change = change.copy(statuses = change.statuses - server.name)))
    }

    /** Forgets an earlier removal of [server], if the same process is registered again. */
    fun markPresent(reduction: Reduction, server: RegisteredServer) {
        val group = reduction.group(server.group)
        val departed = group.departed.filterNot { (name, departure) ->
            name == server.name && isSameStart(departure.startedAtMillis, server)
        }
        val covered = if (isRecordedStart(group.record, server)) group.covered - server.name else group.covered
        if (departed != group.departed || covered != group.covered) {
            reduction.put(group.copy(departed = departed, covered = covered))
        }
    }

    /**
     * Records the replicas that the group's record names and that were removed or restarted before this process knew
     * them.
     */
    fun markUnknown(reduction: Reduction, group: GroupView): GroupView {
        val record = group.record
        val registered = reduction.servers(group.name).filter { isRecordedStart(record, it) }.map { it.name }
        val unknown = record?.replicas.orEmpty() - registered.toSet() - group.departed.keys - group.covered
        if (record == null || unknown.isEmpty() || !reduction.state.serversKnown) return group
        reduction.log("recorded replicas are missing", "group" to group.name, "replicas" to unknown)
        val departures = unknown.associateWith { Departure(reduction.now, record.replicaStarts[it]) }
        val next = group.copy(departed = group.departed + departures)
        reduction.put(next)
        return next
    }

    /** Whether [server] has the log for which [record] names it; true if the record does not tell its start. */
    fun isRecordedStart(record: FleetRecord.Group?, server: RegisteredServer): Boolean =
        isSameStart(record?.replicaStarts?.get(server.name), server)

    private fun isSameStart(startedAtMillis: Long?, server: RegisteredServer): Boolean =
        startedAtMillis == null || startedAtMillis == server.startedAtMillis

    /**
     * Forgets the replicas whose log was gone before [head] was requested. It held no acknowledged commit after that
     * position, so the floor for a successor is raised to it.
     */
    fun applyHeadSample(reduction: Reduction, group: GroupView, head: HeadSample): GroupView {
        val remaining = group.departed.filterValues { it.since > head.sentAt }
        if (remaining.size == group.departed.size) return group
        val floor = group.departedFloor?.let { maxOf(it, head.position) } ?: head.position
        val covered = group.departed.keys - remaining.keys
        if (SuccessorChoice.isReplicationSynchronous(reduction, group)) {
            reduction.log(
                "removed replicas are covered",
                "group" to group.name,
                "replicas" to covered,
                "floor" to floor,
            )
        }
        val recorded = group.record?.replicas.orEmpty()
        return group.copy(
            departed = remaining,
            departedFloor = floor,
            covered = (group.covered + covered) intersect recorded,
        )
    }

    /**
     * Applies the requirements of [record]. The proxy that has written it may know of other departures than those that
     * [known] was written for.
     */
    fun applyRecord(group: GroupView, known: FleetRecord.Group?, record: FleetRecord.Group): GroupView =
        group.copy(
            covered = group.covered.filter { namesSameProcess(it, known, record) }.toSet(),
            departedFloor = listOfNotNull(group.departedFloor, record.floor).maxOrNull(),
        )

    private fun namesSameProcess(replica: ServerName, known: FleetRecord.Group?, record: FleetRecord.Group): Boolean {
        val hasSameStart = known?.replicaStarts?.get(replica) == record.replicaStarts[replica]
        return replica in record.replicas && hasSameStart
    }

    /** Forgets the departures, which concern the log of an earlier term. */
    fun forget(group: GroupView): GroupView =
        group.copy(departed = emptyMap(), covered = emptySet(), departedFloor = null)
}
