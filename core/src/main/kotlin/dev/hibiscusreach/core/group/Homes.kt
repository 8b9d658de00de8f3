package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCallNumber
import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.core.reducer.DatabaseHomes
import kotlinx.collections.immutable.PersistentMap

/** Time in which requests in flight come to their end after the home has moved. */
private val RETIREMENT = 5.seconds

/** Starts and ends the monitoring of groups after the members or the configuration changed. */
internal fun GroupsTurn.selectHomes() {
    val index = state.configuration.index
    val domain = state.settings.failureDomain
    val homes = groups.homes.updated(index, domain, state.membership.takingWork(domain))
    if (homes === groups.homes) return
    groups = groups.copy(homes = homes)
    val own = homes.homes.filterValues { it == state.settings.self }.keys
    own.mapNotNull(index::group).forEach(::monitor)
    groups.databases.keys.filter { it !in own }.forEach(::retire)
}

/** Remembers which servers the platform lists as leaving. */
internal fun GroupsTurn.listLeaving(servers: Set<ServerName>) {
    groups = groups.copy(leavingServers = servers)
    groups.databases.values.forEach { known ->
        val listed = known.group.listedIn(servers)
        if (listed != known.listedLeaving) update(known.name) { it.copy(listedLeaving = listed) }
    }
}

/** Drops the groups whose requests in flight had time to end. A draining process keeps them until it exits. */
internal fun GroupsTurn.dropRetired() {
    if (state.drainPhase != DrainPhase.SERVING) return
    groups.databases.values
        .filter { it.retiredAt != null && now - it.retiredAt >= RETIREMENT }
        .forEach { drop(it.name) }
}

/** The homes of the group in the other failure domains. */
internal fun GroupsTurn.otherMonitors(group: DatabaseGroup): List<NodeIdentity> =
    DatabaseHomes.domains(group)
        .mapNotNull { DatabaseHomes.home(state, group, it) }
        .filter { it != state.settings.self }

private fun GroupsTurn.monitor(group: DatabaseGroup) {
    val known = groups.databases[group.name]
    if (known == null) {
        val started = GroupState(
            group = group,
            settings = settings,
            monitoredSince = now,
            listedLeaving = group.listedIn(groups.leavingServers),
        )
        groups = groups.copy(databases = groups.databases.put(group.name, started))
        probe(group.name)
    } else {
        update(group.name) { it.copy(group = group, retiredAt = null) }
    }
}

private fun GroupsTurn.retire(database: DatabaseName) {
    val known = group(database) ?: return
    val configured = state.configuration.index.group(database)
    if (configured == null) {
        drop(database)
    } else if (known.retiredAt == null) {
        update(database) { it.copy(retiredAt = now) }
        endEarlyFailover(known)
    }
}

// Once the servers are fenced nobody else can promote in that term, so the failover is brought to its end.
private fun GroupsTurn.endEarlyFailover(known: GroupState) {
    val late = known.failover is FailoverState.Fencing || known.failover is FailoverState.Promoting
    if (!late && known.failover !is FailoverState.Recording) pause(known.name)
}

private fun GroupsTurn.drop(database: DatabaseName) {
    update(database) { it.copy(retiredAt = now) }
    failWaits(database)
    emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
    groups =
        groups.copy(
            databases = groups.databases.remove(database),
            calls = groups.calls.without(database),
        )
}

private fun PersistentMap<ControlCallNumber, ControlCall>.without(database: DatabaseName) =
    entries.filter { it.value.database == database }.fold(this) { calls, entry -> calls.remove(entry.key) }

private fun DatabaseGroup.listedIn(leaving: Set<ServerName>): Set<ServerName> =
    servers.map { it.name }.filter { it in leaving }.toSet()
