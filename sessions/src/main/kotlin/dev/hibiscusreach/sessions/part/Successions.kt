package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** The part of a change of primary after the fence: chooses a successor and brings it into office. */
internal object Successions {
    /** Asks all servers of the group for their status. */
    fun inspect(turn: Turn, group: GroupView, change: PrimaryChange) {
        val fresh = change.copy(statuses = emptyMap(), successor = null)
        askStatus(turn, Changes.enter(turn, group, fresh, ChangePhase.INSPECTING))
    }

    fun review(turn: Turn, group: GroupView, change: PrimaryChange) {
        val waited = turn.now - change.phaseSince
        when (change.phase) {
            ChangePhase.INSPECTING -> reviewStatuses(turn, group, change)
            ChangePhase.CATCHING_UP -> reviewCatchUp(turn, group, change)
            ChangePhase.ACQUIRING -> Duties.review(turn, group, change)
            ChangePhase.PROMOTING ->
                if (waited > turn.settings.changes.promotion) Changes.enter(turn, group, change, ChangePhase.ACQUIRING)
            ChangePhase.CONFIRMING -> reviewConfirmation(turn, group, change)
            ChangePhase.PUBLISHING -> if (Changes.isDue(turn, change)) publishAgain(turn, group, change)
            ChangePhase.RECORDING, ChangePhase.FENCING -> Unit
        }
    }

    /** Handles the status of a server of a group whose primary is changed. */
    fun reported(turn: Turn, event: SessionEvent.ControlAnswered) {
        val status = event.status ?: return
        val server = turn.state.server(event.server) ?: return
        val group = turn.group(server.group)
        val change = group.change ?: return
        val next = group.copy(change = change.copy(statuses = change.statuses + (server.name to status)))
        turn.put(next)
        Changes.review(turn, group.name)
    }

    /** Publishes [primary] as the group's primary in [term]. */
    fun publish(turn: Turn, group: GroupView, change: PrimaryChange, primary: ServerName, term: Term) {
        val record = group.record ?: return
        val published = record.copy(term = term, primary = primary, changedBy = null)
        if (record.primary != primary) stepDown(turn, record.primary, term)
        val next = Changes.enter(turn, group, change.copy(published = published), ChangePhase.PUBLISHING)
        next.change?.let { publishAgain(turn, next, it) }
    }

    private fun publishAgain(turn: Turn, group: GroupView, change: PrimaryChange) {
        val record = change.published ?: return
        turn.put(group.copy(change = change.copy(repeatedAt = turn.now)))
        turn.emit(SessionEffect.WriteFleet(FleetKey.group(group.name), record, group.revision))
    }

    private fun stepDown(turn: Turn, primary: ServerName, term: Term) {
        val server = turn.state.server(primary) ?: return
        turn.emit(SessionEffect.SendControl(server, ControlRequest.StepDown(term.number)))
    }

    private fun askStatus(turn: Turn, group: GroupView) {
        val change = group.change ?: return
        val rule = turn.state.configuration?.groups?.get(group.name)
        val term = group.record?.term?.next() ?: return
        // Paused replicas receive nothing more, so that no commit is acknowledged beside the successor's log.
        val pauses = (rule?.synchronousReplicas ?: 0) > 0 && !change.reason.planned
        for (server in servers(turn, group)) {
            val isPrimary = server.name == group.record.primary
            val command = if (pauses && !isPrimary) ControlRequest.Pause(term.number) else ControlRequest.Status
            turn.emit(SessionEffect.SendControl(server, command))
        }
        turn.put(group.copy(change = change.copy(repeatedAt = turn.now)))
    }

    private fun servers(turn: Turn, group: GroupView): List<RegisteredServer> =
        turn.state.servers.values
            .map { it.server }
            .filter { it.group == group.name }

    private fun reviewStatuses(turn: Turn, group: GroupView, change: PrimaryChange) {
        val record = group.record ?: return
        val leader = change.statuses.entries.find { it.value.role == ServerRole.PRIMARY && it.value.term > record.term }
        val incumbent = change.statuses[record.primary]
        val waited = turn.now - change.phaseSince
        val servers = servers(turn, group)
        val complete = servers.all { it.name in change.statuses }
        val leaving = turn.state.server(record.primary)?.leaving ?: true
        val successor = successor(turn, group, change)
        when {
            leader != null -> publish(turn, group, change, leader.key, leader.value.term)
            incumbent?.role == ServerRole.PRIMARY && !leaving -> keep(turn, group, change, incumbent)
            successor != null && (complete || waited > turn.settings.changes.inspection) ->
                succeed(turn, group, change, successor, incumbent)
            Changes.isDue(turn, change) -> askStatus(turn, group)
        }
    }

    private fun keep(turn: Turn, group: GroupView, change: PrimaryChange, incumbent: ServerStatus) {
        val primary = group.record?.primary ?: return
        turn.log("primary keeps its office", "group" to group.name, "primary" to primary)
        publish(turn, group, change, primary, incumbent.term)
    }

    // Where commits wait for replicas, the successor is known to have them all only if every replica has reported.
    private fun successor(turn: Turn, group: GroupView, change: PrimaryChange): ServerName? {
        val rule = turn.state.configuration?.groups?.get(group.name)
        val replicas = servers(turn, group).filter { it.name != group.record?.primary }
        val allNeeded = (rule?.synchronousReplicas ?: 0) > 0
        if (allNeeded && replicas.any { it.name !in change.statuses }) return null
        return replicas
            .filter { !it.leaving && it.name !in change.rejected && it.name in change.statuses }
            .sortedBy { ServerSelection.cost(turn, it).value }
            .maxByOrNull { change.statuses.getValue(it.name).received }
            ?.name
    }

    private fun succeed(
        turn: Turn,
        group: GroupView,
        change: PrimaryChange,
        successor: ServerName,
        incumbent: ServerStatus?,
    ) {
        val chosen = change.copy(successor = successor)
        turn.log(
            "successor chosen",
            "group" to group.name,
            "successor" to successor,
            "received" to change.statuses[successor]?.received,
            "incumbent" to incumbent?.received,
        )
        val handsOver = incumbent?.role == ServerRole.PRIMARY
        val next = Changes.enter(turn, group, chosen, if (handsOver) ChangePhase.CATCHING_UP else ChangePhase.ACQUIRING)
        next.change?.let { review(turn, next, it) }
    }

    private fun reviewCatchUp(turn: Turn, group: GroupView, change: PrimaryChange) {
        val successor = change.successor ?: return
        val incumbent = group.record?.primary ?: return
        val reached = change.statuses[successor]?.received
        val head = change.statuses[incumbent]?.received
        when {
            reached != null && head != null && reached >= head ->
                Changes.enter(turn, group, change, ChangePhase.ACQUIRING)
            turn.now - change.phaseSince > turn.settings.changes.catchUp ->
                change.statuses[incumbent]?.let { keep(turn, group, change, it) }
            turn.now - (change.repeatedAt ?: change.phaseSince) >= turn.settings.changes.review -> askStatus(turn, group)
        }
    }

    private fun reviewConfirmation(turn: Turn, group: GroupView, change: PrimaryChange) {
        val successor = change.successor ?: return
        val term = group.record?.term ?: return
        val status = change.statuses[successor]
        when {
            status != null && status.role == ServerRole.PRIMARY && status.term > term ->
                publish(turn, group, change, successor, status.term)
            turn.now - change.phaseSince > turn.settings.changes.promotion ->
                inspect(turn, group, change)
            turn.now - (change.repeatedAt ?: change.phaseSince) >= turn.settings.changes.review -> askStatus(turn, group)
        }
    }
}
