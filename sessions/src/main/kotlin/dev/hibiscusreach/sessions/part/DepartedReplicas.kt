package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.HeadSample

/**
 * Remembers replicas that have left. Where commits wait for replicas, one that has left may have been the only one to
 * receive a commit, until another replica has received what the primary's log held afterwards.
 */
internal object DepartedReplicas {
    /** Notes that the entry of [server] is missing. */
    fun missing(turn: Reduction, server: RegisteredServer) {
        val group = turn.group(server.group)
        if (group.record != null && group.record.primary != server.name) {
            turn.put(group.copy(departed = group.departed + (server.name to turn.now)))
        }
    }

    /** Notes that [server] is registered. */
    fun present(turn: Reduction, server: RegisteredServer) {
        val group = turn.group(server.group)
        if (server.name in group.departed) turn.put(group.copy(departed = group.departed - server.name))
    }

    /** Takes a head position of the primary as the limit of what the replicas that left before it can hold. */
    fun sampled(group: GroupView, head: HeadSample): GroupView {
        val remaining = group.departed.filterValues { it > head.sentAt }
        if (remaining.size == group.departed.size) return group
        val floor = group.departedFloor?.let { maxOf(it, head.position) } ?: head.position
        return group.copy(departed = remaining, departedFloor = floor)
    }

    /** The [record] of an intent to replace the primary, with what its successor has to prove. */
    fun required(turn: Reduction, group: GroupView, record: FleetRecord.Group): FleetRecord.Group {
        if (!SuccessorChoice.commitsWaitForReplicas(turn, group)) return record
        val registered = SuccessorChoice.replicas(turn, group).map { it.name }
        val floor = listOfNotNull(record.floor, group.departedFloor).maxOrNull()
        return record.copy(replicas = record.replicas + registered + group.departed.keys, floor = floor)
    }
}
