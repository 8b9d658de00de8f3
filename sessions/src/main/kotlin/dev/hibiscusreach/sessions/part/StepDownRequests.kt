package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.GroupView

/**
 * Tells servers that were replaced as primaries to become replicas. A server may miss the request of the change that
 * replaced it, because it is down or not registered then. It would go on as a primary with an old log, so it is told
 * again for as long as its entry reports the primary role. One that answers with a later term has replaced the recorded
 * primary, by a promotion that was carried out after its change had ended.
 */
internal object StepDownRequests {
    /** Tells each registered server of [group] that reports the primary role and is neither recorded nor promoted. */
    fun review(reduction: Reduction, group: GroupView) {
        val record = group.record ?: return
        val rank = ProxyRanking.ownRank(reduction, group.name) ?: return
        for (server in reduction.servers(group.name)) {
            val due = reduction.health(server.name).stepDownDue
            val isOther = server.name != record.primary && server.name != record.successor
            val isReplaced = isOther && server.role == ServerRole.PRIMARY
            val next = reduction.now + reduction.settings.changes.retryPause
            when {
                !isReplaced -> if (due != null) forget(reduction, server.name)
                due == null ->
                    reduction.updateHealth(server.name) {
                        it.copy(stepDownDue = next + reduction.settings.changes.rankDelay * rank)
                    }
                reduction.now >= due -> {
                    reduction.updateHealth(server.name) { it.copy(stepDownDue = next) }
                    request(reduction, group.name, server.name, record.term)
                }
            }
        }
    }

    /** Asks the server [name] of [group] to become a replica if it leads an earlier term than [term]. */
    fun request(reduction: Reduction, group: GroupName, name: ServerName, term: Term) {
        val server = reduction.state.server(name)
        reduction.log(
            "step-down requested",
            "group" to group,
            "server" to name,
            "term" to term,
            "registered" to (server != null),
        )
        server?.let { reduction.emit(SessionEffect.SendControl(it, ControlRequest.StepDown(term.number))) }
    }

    private fun forget(reduction: Reduction, server: ServerName) =
        reduction.updateHealth(server) { it.copy(stepDownDue = null, leadsTerm = null) }

    /** Handles the status with which a server answers a request; it leads on if its term is not an earlier one. */
    fun handleAnswer(reduction: Reduction, event: SessionEvent.ControlAnswered) {
        val status = event.status
        reduction.log(
            "step-down answered",
            "group" to reduction.state.server(event.server)?.group,
            "server" to event.server,
            "role" to status?.role?.name,
            "term" to status?.term,
            "received" to status?.received,
        )
        if (status != null) {
            val leadsTerm = status.term.takeIf { status.role == ServerRole.PRIMARY }
            reduction.updateHealth(event.server) { it.copy(leadsTerm = leadsTerm) }
        }
    }

    /** The servers of the group of [record] that have answered that they lead a later term than its primary. */
    fun laterPrimaries(reduction: Reduction, record: FleetRecord.Group): Set<ServerName> =
        reduction
            .servers(GroupName(record.group))
            .map { it.name }
            .filter { it != record.primary && leadsLaterTerm(reduction, it, record.term) }
            .toSet()

    private fun leadsLaterTerm(reduction: Reduction, server: ServerName, term: Term): Boolean =
        reduction.health(server).leadsTerm?.let { it > term } ?: false
}
