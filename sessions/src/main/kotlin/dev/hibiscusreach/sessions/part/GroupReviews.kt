package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.Outstanding.Purpose

/** Reviews each group: its first record, its head position, its fence and its primary. */
internal object GroupReviews {
    fun review(turn: Turn) {
        val configured = turn.state.configuration?.groups?.keys.orEmpty()
        if (turn.state.ready) Pools.warm(turn)
        Pools.trim(turn)
        for (name in configured + turn.state.groups.keys) {
            val group = turn.group(name)
            if (group.record == null) firstRecord(turn, group) else inOffice(turn, group)
        }
    }

    /** Handles the status of a server that calls itself the primary of a group without a record. */
    fun statusOfFirst(turn: Turn, event: SessionEvent.ControlAnswered): Boolean {
        val server = turn.state.server(event.server)
        val status = event.status
        if (server == null || turn.group(server.group).record != null) return false
        if (status?.role == ServerRole.PRIMARY && turn.state.fleet.readAt != null) {
            val record =
                FleetRecord.Group(server.group.value, epoch = 1, term = status.term, primary = server.name)
            turn.log("first primary", "group" to server.group, "primary" to server.name, "term" to status.term)
            turn.emit(SessionEffect.WriteFleet(FleetKey.group(server.group), record, expectedRevision = null))
        }
        return true
    }

    private fun firstRecord(turn: Turn, group: GroupView) {
        val rank = Ranks.own(turn, group.name)
        val asked = group.statusAskedAt
        when {
            rank == null || turn.state.fleet.readAt == null -> Unit
            // The others let the first proxy act, and follow if it does not.
            asked == null && rank > 0 -> {
                val delay = turn.settings.changes.rankDelay * rank
                turn.put(group.copy(statusAskedAt = turn.now + delay))
            }
            asked == null || turn.now - asked >= turn.settings.changes.pause -> askFirst(turn, group)
        }
    }

    private fun askFirst(turn: Turn, group: GroupView) {
        val primary = turn.servers(group.name).find { it.role == ServerRole.PRIMARY } ?: return
        turn.put(group.copy(statusAskedAt = turn.now))
        turn.emit(SessionEffect.SendControl(primary, ControlRequest.Status))
    }

    private fun inOffice(turn: Turn, group: GroupView) {
        probe(turn, group)
        Fences.settle(turn, group.name)
        Suspicions.review(turn, group.name)
        Changes.review(turn, group.name)
    }

    // A fresh head position lets replicas serve reads with a bound, and shows that the primary answers.
    private fun probe(turn: Turn, group: GroupView) {
        val primary = Primaries.usable(turn, group) ?: return
        val age = group.heads.lastOrNull()?.let { turn.now - it.sentAt } ?: Millis(Long.MAX_VALUE)
        if (age < turn.settings.changes.probe) return
        val connections = Pools.connections(turn, primary)
        val probing = connections.any { connection -> connection.outstanding.any { it.purpose == Purpose.PROBE } }
        val idle = connections.find { it.idle }
        when {
            probing -> Unit
            idle != null -> PoolUse.send(turn, idle, listOf(Purpose.PROBE to ServerStatement.Status))
            connections.all { it.open } -> open(turn, primary)
        }
    }

    private fun open(turn: Turn, primary: ServerName) {
        turn.state.server(primary)?.let { Pools.open(turn, it) }
    }
}

/** Orders the proxies, so that usually one of them acts for a group. */
internal object Ranks {
    /** The number of proxies that come before this one for a group; null if this proxy is not registered. */
    fun own(turn: Turn, group: GroupName): Int? {
        val nodes =
            turn.state.fleet
                .members
                .values
                .map { it.identity.node }
                .sortedBy { (it + group.value).hashCode() }
        return nodes.indexOf(turn.state.place.identity.node).takeIf { it >= 0 }
    }
}
