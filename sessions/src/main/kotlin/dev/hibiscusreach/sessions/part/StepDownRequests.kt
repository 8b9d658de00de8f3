package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.GroupName

/** Tells servers that were replaced as primaries to become replicas. */
internal object StepDownRequests {
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
