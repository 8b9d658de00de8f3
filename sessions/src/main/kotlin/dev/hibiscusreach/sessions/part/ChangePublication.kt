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

/** Writes the outcome of a change of primary to the store and informs the servers. */
internal object ChangePublication {
    /** Records [primary] as the group's primary in [term]. If it is another server, the old primary steps down. */
    fun publish(reduction: Reduction, group: GroupView, change: PrimaryChange, primary: ServerName, term: Term) {
        val record = group.record ?: return
        val stable = FleetRecord.Group(record.group, record.epoch, term, primary, era = StoreEras.current(reduction))
        val published = CommitRequirements.addToPublished(reduction, group, change, published = stable)
        if (record.primary != primary) StepDownRequests.request(reduction, group.name, record.primary, term)
        if (SuccessorChoice.pausesReplicas(reduction, group, change)) resumeReplicas(reduction, group, primary)
        val next =
            PrimaryChanges.enterPhase(reduction, group, change.copy(published = published), ChangePhase.PUBLISHING)
        next.change?.let { writeRecord(reduction, next, it) }
    }

    /** Writes the group's new record; repeated while the write is not answered. */
    fun writeRecord(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val record = change.published ?: return
        reduction.put(group.copy(change = change.copy(requestsSentAt = reduction.now)))
        reduction.emit(SessionEffect.WriteFleet(FleetKey.group(group.name), record, group.revision))
    }

    private fun resumeReplicas(reduction: Reduction, group: GroupView, primary: ServerName) =
        reduction
            .servers(group.name)
            .filter { it.name != primary }
            .forEach { reduction.emit(SessionEffect.SendControl(it, ControlRequest.Resume)) }

    /** Ends the change and keeps the current primary. */
    fun keepPrimary(reduction: Reduction, group: GroupView, change: PrimaryChange, incumbent: ServerStatus) {
        val primary = group.record?.primary ?: return
        reduction.log(
            "primary kept",
            "group" to group.name,
            "primary" to primary,
            "requested" to group.record.successor
        )
        publish(reduction, group, change, primary, incumbent.term)
    }
}
