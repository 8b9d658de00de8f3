package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.GroupView

/**
 * Tells servers that were replaced as primaries to become replicas. A server may miss the request of the change that
 * replaced it, because it is down or not registered then. It would go on as a primary with an old log, so it is told
 * again for as long as its entry reports the primary role.
 */
internal object StepDownRequests {
    /** Tells each registered server of [group] that reports the primary role beside the recorded primary. */
    fun review(reduction: Reduction, group: GroupView) {
        val record = group.record?.takeIf { it.changedBy == null } ?: return
        val rank = ProxyRanking.ownRank(reduction, group.name) ?: return
        for (server in reduction.servers(group.name)) {
            val due = reduction.health(server.name).stepDownDue
            val isReplaced = server.role == ServerRole.PRIMARY && server.name != record.primary
            val next = reduction.now + reduction.settings.changes.retryPause
            when {
                !isReplaced -> if (due != null) reduction.updateHealth(server.name) { it.copy(stepDownDue = null) }
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

    /** Logs the status with which a server answers a request; null if it didn't answer. */
    fun handleAnswer(reduction: Reduction, event: SessionEvent.ControlAnswered) =
        reduction.log(
            "step-down answered",
            "group" to reduction.state.server(event.server)?.group,
            "server" to event.server,
            "role" to event.status?.role?.name,
            "term" to event.status?.term,
            "received" to event.status?.received,
        )
}
