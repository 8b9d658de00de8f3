package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** Publishes the outcome of a change of primary. */
internal object ChangePublication {
    /** Publishes [primary] as the group's primary in [term]. */
    fun publish(turn: Reduction, group: GroupView, change: PrimaryChange, primary: ServerName, term: Term) {
        val record = group.record ?: return
        val published = FleetRecord.Group(record.group, record.epoch, term, primary)
        if (record.primary != primary) stepDown(turn, record.primary, term)
        if (SuccessorChoice.pausesReplicas(turn, group, change)) resumeReplicas(turn, group, primary)
        val next = PrimaryChanges.enter(turn, group, change.copy(published = published), ChangePhase.PUBLISHING)
        next.change?.let { publishAgain(turn, next, it) }
    }

    /** Writes the record, again if an earlier write was not answered. */
    fun publishAgain(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val record = change.published ?: return
        turn.put(group.copy(change = change.copy(requestsSentAt = turn.now)))
        turn.emit(SessionEffect.WriteFleet(FleetKey.group(group.name), record, group.revision))
    }

    private fun resumeReplicas(turn: Reduction, group: GroupView, primary: ServerName) =
        turn
            .servers(group.name)
            .filter { it.name != primary }
            .forEach { turn.emit(SessionEffect.SendControl(it, ControlRequest.Resume)) }

    private fun stepDown(turn: Reduction, primary: ServerName, term: Term) {
        val server = turn.state.server(primary) ?: return
        turn.emit(SessionEffect.SendControl(server, ControlRequest.StepDown(term.number)))
    }

    /** Leaves the primary in office. */
    fun keep(turn: Reduction, group: GroupView, change: PrimaryChange, incumbent: ServerStatus) {
        val primary = group.record?.primary ?: return
        turn.log("primary keeps its office", "group" to group.name, "primary" to primary)
        publish(turn, group, change, primary, incumbent.term)
    }
}
