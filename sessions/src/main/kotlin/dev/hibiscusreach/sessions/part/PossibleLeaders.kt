package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * The servers that may lead a later term than the recorded primary, or may do so once they return. The primary is not
 * kept without a term of its own while there are any.
 */
internal object PossibleLeaders {
    /**
     * The servers whose promotion was requested. After a restoration the records of requests may be lost, so that every
     * server that doesn't report its term is one, also if it has been removed.
     */
    fun of(reduction: Reduction, group: GroupView, change: PrimaryChange): Set<ServerName> {
        val record = group.record?.takeIf { it.afterRestoration } ?: return change.mayHaveLed
        val known = reduction.servers(group.name).map { it.name } + group.absent
        return change.mayHaveLed + known.filter { it != record.primary && it !in change.statuses }
    }

    /** Records that [server] was removed. */
    fun markAbsent(reduction: Reduction, server: RegisteredServer) {
        val group = reduction.group(server.group)
        reduction.put(group.copy(absent = group.absent + server.name))
    }

    /** Forgets an earlier removal of [server], which is registered again. */
    fun markPresent(reduction: Reduction, server: RegisteredServer) {
        val group = reduction.group(server.group)
        if (server.name in group.absent) reduction.put(group.copy(absent = group.absent - server.name))
    }
}
