package dev.hibiscusreach.runtime.operations

import dev.hibiscusreach.core.group.ServerView
import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.reducer.DatabaseHomes
import dev.hibiscusreach.core.reducer.ProxyState

/** Reads the parts of a [StateDump] from the slices of the reducer's state. */
internal object StateReader {
    fun configuration(state: ProxyState, ageMillis: Long?): DumpedConfiguration {
        val configuration = state.configuration.index.configuration
        return DumpedConfiguration(
            generation = configuration.generation,
            ageMillis = ageMillis,
            recentChanges = state.configuration.recentChanges,
            databases = configuration.inventory.databaseGroups.size,
            callers = configuration.inventory.callers.size,
        )
    }

    fun members(state: ProxyState): List<DumpedMember> =
        state.membership.peers.values
            .map { DumpedMember(it.node, it.failureDomain, it.condition, it.refutation) }
            .sortedBy { it.node }

    fun groups(state: ProxyState, now: MonotonicTime): List<DumpedGroup> =
        state.configuration.index.databaseGroups.map { group ->
            DumpedGroup(
                database = group.name,
                term = offered { state.groups.term(group.name) },
                primary = offered { state.groups.primary(group.name) },
                durable = offered { state.groups.durable(group.name) },
                homes = offered { homes(state, group) }.orEmpty(),
                servers = servers(state, group, now),
            )
        }

    private fun homes(state: ProxyState, group: DatabaseGroup) =
        DatabaseHomes.domains(group).associateWith { DatabaseHomes.home(state, group, it) }

    private fun servers(state: ProxyState, group: DatabaseGroup, now: MonotonicTime): List<DumpedServer> {
        val views = offered { state.groups.servers(group.name, now) }.orEmpty().associateBy { it.name }
        return group.servers.map { server -> dumped(state, server, views[server.name]) }
    }

    private fun dumped(state: ProxyState, server: BackendServer, view: ServerView?) =
        DumpedServer(
            name = server.name,
            failureDomain = server.failureDomain,
            connectionLimit = server.connectionLimit,
            reachable = view?.reachable,
            leaving = view?.leaving,
            applied = view?.applied,
            latencyMillis = view?.latency?.value,
            warmUpPercent = view?.warmUpPercent,
            freeConnections = offered { state.pools.freeConnections(server.name) },
        )

    // Parts of the reducer that are not finished do not offer their values yet.
    @Suppress("SwallowedException")
    private fun <T> offered(read: () -> T): T? =
        try {
            read()
        } catch (failure: NotImplementedError) {
            null
        }
}
