package dev.hibiscusreach.sessions.part

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
        val isKnown = server.name in group.departed || server.name in group.covered
        if (isKnown) {
            reduction.put(group.copy(departed = group.departed - server.name, covered = group.covered - server.name))
        }
    }

    /** Records the replicas that the group's record names and that were removed before this process knew them. */
    fun markUnknown(reduction: Reduction, group: GroupView): GroupView {
        val recorded = group.record?.replicas.orEmpty()
        val registered = reduction.servers(group.name).map { it.name }
        val unknown = recorded - registered.toSet() - group.departed.keys - group.covered
        if (unknown.isEmpty() || !reduction.state.serversKnown) return group
        reduction.log("recorded replicas are missing", "group" to group.name, "replicas" to unknown)
        val next = group.copy(departed = group.departed + unknown.associateWith { reduction.now })
        reduction.put(next)
        return next
    }

    /**
     * Forgets the replicas that were removed before [head] was requested. They hold no acknowledged commit
     * after its position, so the floor for a successor is raised to it.
     */
    fun applyHeadSample(reduction: Reduction, group: GroupView, head: HeadSample): GroupView {
        val remaining = group.departed.filterValues { it > head.sentAt }
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
}
