package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCallNumber
import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.inSeconds
import dev.hibiscusreach.core.reducer.DatabaseHomes
import kotlinx.collections.immutable.PersistentMap

/** Time in which requests in flight come to their end after the home has moved. */
private val RETIREMENT = 5.inSeconds

/** Starts and ends the monitoring of groups after the members or the configuration changed. */
internal fun GroupsTurn.selectHomes() {
    val index = state.configuration.index
    val input = HomesInput(index.generation, state.membership.takingWork(state.settings.failureDomain))
    // Hashing all databases over all nodes of the domain is costly; most membership changes are in other domains.
    if (input == groups.homesInput) return
    groups = groups.copy(homesInput = input)
    val own = index.databaseGroups.filter { DatabaseHomes.isHome(state, it) }.associateBy { it.name }
    own.values.forEach(::monitor)
    groups.databases.keys.filter { it !in own }.forEach(::retire)
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
        val started = GroupState(group = group, settings = settings, monitoredSince = now)
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
        update(database) { it.copy(retiredAt = now, failover = FailoverState.Watching) }
        emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
    }
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
