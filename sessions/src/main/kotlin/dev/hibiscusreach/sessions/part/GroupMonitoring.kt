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
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose

/** Reviews each group: its first record, its head position, its fence and its primary. */
internal object GroupMonitoring {
    fun review(turn: Reduction) {
        val configured = turn.state.configuration?.groups?.keys.orEmpty()
        if (turn.state.ready) ConnectionPools.warm(turn)
        ConnectionPools.trim(turn)
        for (name in configured + turn.state.groups.keys) {
            val group = turn.group(name)
            if (group.record == null) firstRecord(turn, group) else inOffice(turn, group)
        }
    }

    /** Handles the status of a server that calls itself the primary of a group without a record. */
    fun statusOfFirst(turn: Reduction, event: SessionEvent.ControlAnswered): Boolean {
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

    private fun firstRecord(turn: Reduction, group: GroupView) {
        val rank = ProxyRanking.own(turn, group.name)
        val asked = group.statusAskedAt
        when {
            rank == null || turn.state.fleet.readAt == null -> Unit
            // The others let the first proxy act, and follow if it does not.
            asked == null && rank > 0 -> {
                val delay = turn.settings.changes.rankDelay * rank
                turn.put(group.copy(statusAskedAt = turn.now + delay))
            }
            asked == null || turn.now - asked >= turn.settings.changes.retryPause -> askFirst(turn, group)
        }
    }

    private fun askFirst(turn: Reduction, group: GroupView) {
        val primary = turn.servers(group.name).find { it.role == ServerRole.PRIMARY } ?: return
        turn.put(group.copy(statusAskedAt = turn.now))
        turn.emit(SessionEffect.SendControl(primary, ControlRequest.Status))
    }

    private fun inOffice(turn: Reduction, group: GroupView) {
        probe(turn, group)
        PrimaryFencing.settle(turn, group.name)
        PrimaryFailureDetection.review(turn, group.name)
        PrimaryChanges.review(turn, group.name)
    }

    // A fresh head position lets replicas serve reads with a bound, and shows that the primary answers.
    private fun probe(turn: Reduction, group: GroupView) {
        val primary = PrimaryStatus.usable(turn, group) ?: return
        val age = group.heads.lastOrNull()?.let { turn.now - it.sentAt } ?: Millis(Long.MAX_VALUE)
        if (age < turn.settings.changes.probePeriod) return
        val connections = ConnectionPools.connections(turn, primary)
        val probing = connections.any { connection -> connection.outstanding.any { it.purpose == Purpose.PROBE } }
        val idle = connections.find { it.idle }
        when {
            probing -> Unit
            idle != null -> ConnectionCheckout.send(turn, idle, listOf(Purpose.PROBE to ServerStatement.Status))
            connections.all { it.open } -> open(turn, primary)
        }
    }

    private fun open(turn: Reduction, primary: ServerName) {
        turn.state.server(primary)?.let { ConnectionPools.open(turn, it) }
    }
}

/** Orders the proxies, so that usually one of them acts for a group. */
internal object ProxyRanking {
    /** The number of proxies that come before this one for a group; null if this proxy is not registered. */
    fun own(turn: Reduction, group: GroupName): Int? {
        val nodes =
            turn.state.fleet
                .members
                .values
                .map { it.identity.node }
                .sortedBy { (it + group.value).hashCode() }
        return nodes.indexOf(turn.state.self.identity.node).takeIf { it >= 0 }
    }
}
