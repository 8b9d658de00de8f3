package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.HeadSample

/**
 * Tracks replicas that have been removed. With synchronous replication, a removed replica may be the only one that has
 * received a commit, until another replica has received the primary's log up to a later position.
 */
internal object DepartedReplicas {
    /** Records that the entry of [server] is missing, unless it is the group's primary. */
    fun markMissing(reduction: Reduction, server: RegisteredServer) {
        val group = reduction.group(server.group)
        if (group.record != null && group.record.primary != server.name) {
            reduction.put(group.copy(departed = group.departed + (server.name to reduction.now)))
        }
    }

    /** Forgets an earlier removal of [server], which is registered again. */
    fun markPresent(reduction: Reduction, server: RegisteredServer) {
        val group = reduction.group(server.group)
        if (server.name in group.departed) reduction.put(group.copy(departed = group.departed - server.name))
    }

    /**
     * Forgets the replicas that were removed before [head] was requested. They hold no acknowledged commit
     * after its position, so the floor for a successor is raised to it.
     */
    fun applyHeadSample(group: GroupView, head: HeadSample): GroupView {
        val remaining = group.departed.filterValues { it > head.sentAt }
        if (remaining.size == group.departed.size) return group
        val floor = group.departedFloor?.let { maxOf(it, head.position) } ?: head.position
        return group.copy(departed = remaining, departedFloor = floor)
    }

    /** Adds to an intent [record] the replicas that must report and the log position that the successor must reach. */
    fun withCommitRequirements(reduction: Reduction, group: GroupView, record: FleetRecord.Group): FleetRecord.Group {
        if (!SuccessorChoice.isReplicationSynchronous(reduction, group)) return record
        val registered = SuccessorChoice.replicas(reduction, group).map { it.name }
        val floor = listOfNotNull(record.floor, group.departedFloor).maxOrNull()
        return record.copy(replicas = record.replicas + registered + group.departed.keys, floor = floor)
    }
}
