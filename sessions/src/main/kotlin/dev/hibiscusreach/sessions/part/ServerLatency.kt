package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName

/** The latency that is expected of servers. */
internal object ServerLatency {
    /**
     * Expected latency of a statement at the server in milliseconds. Without recent statements it approaches the lowest
     * one of the group's servers, which is also that of a server without any: the server's own lowest one may be of a
     * time in which it was slow, and would keep it from being tried again.
     */
    fun expected(reduction: Reduction, server: ServerName): Double {
        val floor = lowestOfGroup(reduction, server)
        val latency = ServerLoads.of(reduction, server).latency
        return latency?.at(reduction.now, reduction.settings.selection.loadHalfLife, floor) ?: floor
    }

    private fun lowestOfGroup(reduction: Reduction, server: ServerName): Double {
        val group = reduction.state.server(server)?.group
        val servers = group?.let { reduction.servers(it) }.orEmpty()
        return servers.mapNotNull { ServerLoads.of(reduction, it.name).latency?.lowest }.minOrNull()
            ?: reduction.settings.connections.expectedLatency.value.toDouble()
    }
}
