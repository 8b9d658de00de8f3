package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** The part of a change of primary after the fence: chooses a successor and brings it into office. */
internal object SuccessorPromotion {
    /** Asks all servers of the group for their status. */
    fun inspect(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val fresh = change.copy(statuses = emptyMap(), successor = null)
        SuccessorChoice.askStatus(turn, PrimaryChanges.enter(turn, group, fresh, ChangePhase.INSPECTING))
    }

    fun review(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val waited = turn.now - change.phaseSince
        when (change.phase) {
            ChangePhase.INSPECTING -> reviewStatuses(turn, group, change)
            ChangePhase.CATCHING_UP -> reviewCatchUp(turn, group, change)
            ChangePhase.ACQUIRING -> PromoterLocking.review(turn, group, change)
            ChangePhase.PROMOTING ->
                if (waited > turn.settings.changes.promotionTimeout) {
                    PrimaryChanges.enter(turn, group, change, ChangePhase.ACQUIRING)
                }
            ChangePhase.CONFIRMING -> reviewConfirmation(turn, group, change)
            ChangePhase.PUBLISHING ->
                if (PrimaryChanges.isDue(turn, change)) ChangePublication.publishAgain(turn, group, change)
            ChangePhase.RECORDING, ChangePhase.FENCING -> Unit
        }
    }

    /** Handles the status of a server of a group whose primary is changed. */
    fun reported(turn: Reduction, event: SessionEvent.ControlAnswered) {
        val group = turn.state.server(event.server)?.let { turn.group(it.group) }
        val change = group?.change
        val status = event.status
        if (change != null && status != null) {
            turn.put(group.copy(change = change.copy(statuses = change.statuses + (event.server to status))))
            PrimaryChanges.review(turn, group.name)
        }
    }

    private fun reviewStatuses(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val record = group.record ?: return
        val leader = change.statuses.entries.find { leads(record, it.key, it.value) }
        val incumbent = change.statuses[record.primary]
        val waited = turn.now - change.phaseSince
        val complete = turn.servers(group.name).all { it.name in change.statuses }
        val leaving = turn.state.server(record.primary)?.leaving ?: true
        val successor = SuccessorChoice.successor(turn, group, change)
        when {
            leader != null -> ChangePublication.publish(turn, group, change, leader.key, leader.value.term)
            incumbent?.role == ServerRole.PRIMARY && !leaving -> ChangePublication.keep(turn, group, change, incumbent)
            successor != null && (complete || waited > turn.settings.changes.statusTimeout) ->
                succeed(turn, group, change, successor, incumbent)
            PrimaryChanges.isDue(turn, change) -> SuccessorChoice.askStatus(turn, group)
        }
    }

    // A term has one primary. Another server that leads in the recorded term has the primary's log under a new name.
    private fun leads(record: FleetRecord.Group, server: ServerName, status: ServerStatus): Boolean {
        val isOther = status.term > record.term || status.term == record.term && server != record.primary
        return status.role == ServerRole.PRIMARY && isOther
    }

    private fun succeed(
        turn: Reduction,
        group: GroupView,
        change: PrimaryChange,
        successor: ServerName,
        incumbent: ServerStatus?,
    ) {
        val chosen = change.copy(successor = successor)
        val complete = SuccessorChoice.hasAllCommits(turn, group, change, successor)
        if (!complete) turn.log("successor may lack commits", "group" to group.name, level = LogLevel.ERROR)
        turn.log(
            "successor chosen",
            "group" to group.name,
            "successor" to successor,
            "received" to change.statuses[successor]?.received,
            "incumbent" to incumbent?.received,
        )
        val phase = if (SuccessorChoice.isHandedOver(group, change)) ChangePhase.CATCHING_UP else ChangePhase.ACQUIRING
        val next = PrimaryChanges.enter(turn, group, chosen, phase)
        next.change?.let { review(turn, next, it) }
    }

    private fun reviewCatchUp(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val successor = change.successor ?: return
        val incumbent = group.record?.primary ?: return
        val reached = change.statuses[successor]?.received
        val head = change.statuses[incumbent]?.received
        when {
            reached != null && head != null && reached >= head ->
                PrimaryChanges.enter(turn, group, change, ChangePhase.ACQUIRING)
            turn.now - change.phaseSince > turn.settings.changes.catchUpTimeout ->
                change.statuses[incumbent]?.let { ChangePublication.keep(turn, group, change, it) }
            polls(turn, change) -> SuccessorChoice.askStatus(turn, group)
        }
    }

    private fun reviewConfirmation(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val successor = change.successor ?: return
        val term = group.record?.term ?: return
        val status = change.statuses[successor]
        when {
            status != null && status.role == ServerRole.PRIMARY && status.term > term ->
                ChangePublication.publish(turn, group, change, successor, status.term)
            turn.now - change.phaseSince > turn.settings.changes.promotionTimeout ->
                inspect(turn, group, change)
            polls(turn, change) -> SuccessorChoice.askStatus(turn, group)
        }
    }

    // Statuses are asked for at each review while only the progress of a server is waited for.
    private fun polls(turn: Reduction, change: PrimaryChange): Boolean =
        turn.now - (change.requestsSentAt ?: change.phaseSince) >= turn.settings.changes.checkPeriod
}
