package dev.hibiscusreach.runtime.operations

import dev.hibiscusreach.core.group.ServerView
import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.reducer.DatabaseHomes
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.request.RequestPhase

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
                term = state.groups.term(group.name),
                primary = state.groups.primary(group.name),
                durable = state.groups.durable(group.name),
                homes = homes(state, group),
                servers = servers(state, group, now),
            )
        }

    private fun homes(state: ProxyState, group: DatabaseGroup) =
        DatabaseHomes.domains(group).associateWith { DatabaseHomes.home(state, group, it) }

    private fun servers(state: ProxyState, group: DatabaseGroup, now: MonotonicTime): List<DumpedServer> {
        val views = state.groups.servers(group.name, now).associateBy { it.name }
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
            freeConnections = state.pools.freeConnections(server.name),
        )

    fun requests(state: ProxyState, inFlight: Int, waitingEvents: Int): DumpedRequests =
        DumpedRequests(
            inFlight = inFlight,
            waitingEvents = waitingEvents,
            openTransactions = state.requests.transactions.size,
            byPhase =
            state.requests.pending.values
                .groupingBy { phase(it.phase) }
                .eachCount(),
        )

    private fun phase(phase: RequestPhase): String =
        when (phase) {
            is RequestPhase.Arrived -> "arrived"
            is RequestPhase.AwaitingReplica -> "awaitingReplica"
            is RequestPhase.AwaitingPrimary -> "awaitingPrimary"
            is RequestPhase.Connecting -> "connecting"
            is RequestPhase.Sent -> "sent"
            is RequestPhase.Verifying -> "verifying"
            is RequestPhase.Forwarded -> "forwarded"
        }
}
