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

/** Time that requests in flight get to complete after the home has moved. */
private val RETIREMENT_PERIOD = 5.seconds

/** Starts and ends the monitoring of groups after the members or the configuration changed. */
internal fun GroupsStepBuilder.selectHomes() {
    val index = state.configuration.index
    val domain = state.settings.failureDomain
    val homes = groups.homes.updated(index, domain, state.membership.nodesAcceptingWork(domain))
    if (homes === groups.homes) return
    groups = groups.copy(homes = homes)
    val own = homes.homes.filterValues { it == state.settings.self }.keys
    own.mapNotNull(index::group).forEach(::startMonitoring)
    groups.databases.keys.filter { it !in own }.forEach(::retireGroup)
}

/** Stores which servers the platform lists as leaving, also for groups that are monitored later. */
internal fun GroupsStepBuilder.updateLeavingServers(servers: Set<ServerName>) {
    groups = groups.copy(leavingServers = servers)
    groups.databases.values.forEach { groupState ->
        val listed = groupState.group.listedIn(servers)
        if (listed != groupState.listedLeaving) update(groupState.name) { it.copy(listedLeaving = listed) }
    }
}

/** Drops the groups whose retirement period is over. A draining process keeps them until it exits. */
internal fun GroupsStepBuilder.dropRetiredGroups() {
    if (state.drainPhase != DrainPhase.SERVING) return
    groups.databases.values
        .filter { it.retiredAt != null && now - it.retiredAt >= RETIREMENT_PERIOD }
        .forEach { dropGroup(it.name) }
}

/** The homes of the group in the other failure domains, which monitor it as well. */
internal fun GroupsStepBuilder.otherMonitors(group: DatabaseGroup): List<NodeIdentity> =
    DatabaseHomes.domains(group)
        .mapNotNull { DatabaseHomes.home(state, group, it) }
        .filter { it != state.settings.self }

private fun GroupsStepBuilder.startMonitoring(group: DatabaseGroup) {
    val groupState = groups.databases[group.name]
    if (groupState == null) {
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

private fun GroupsStepBuilder.retireGroup(database: DatabaseName) {
    val groupState = group(database) ?: return
    val configured = state.configuration.index.group(database)
    if (configured == null) {
        dropGroup(database)
    } else if (groupState.retiredAt == null) {
        update(database) { it.copy(retiredAt = now) }
        cancelUnfencedFailover(groupState)
    }
}

// Once fencing has started no other process can promote a server in that term, so the failover is completed.
private fun GroupsStepBuilder.cancelUnfencedFailover(groupState: GroupState) {
    val fencingStarted = groupState.failover is FailoverState.Fencing || groupState.failover is FailoverState.Promoting
    if (!fencingStarted && groupState.failover !is FailoverState.Recording) backOff(groupState.name)
}

private fun GroupsStepBuilder.dropGroup(database: DatabaseName) {
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
