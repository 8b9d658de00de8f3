package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName

/** Probes all groups of this home, retries paused Confirm commands, and starts the failovers that are needed. */
internal fun GroupsStepBuilder.runProbePeriod() {
    groups = groups.copy(lastProbePeriodAt = now)
    emit(Effect.StartTimer(TimerKey.ProbePeriod, settings.probePeriod))
    groups.databases.keys.forEach { database ->
        update(database) { it.withConfirmsResumed().withLagUpdated(now) }
        probe(database)
        sendConfirms(database)
        probeForLeadership(database)
        startFailoverIfNeeded(database)
    }
}

/** Sends a Probe command to every server of [database]. */
internal fun GroupsStepBuilder.probe(database: DatabaseName) {
    val groupState = group(database) ?: return
    groupState.group.servers.forEach { sendControl(groupState, it.name, ControlCommand.Probe) }
}

private fun GroupState.withConfirmsResumed(): GroupState =
    confirms.entries
        .filter { it.value == ConfirmState.PAUSED }
        .fold(this) { group, entry -> group.copy(confirms = group.confirms.remove(entry.key)) }
