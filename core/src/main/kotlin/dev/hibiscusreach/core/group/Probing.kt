package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName

/** Probes all groups of this home and looks for primaries that are missing. */
internal fun GroupsTurn.tick() {
    groups = groups.copy(lastTickAt = now)
    emit(Effect.StartTimer(TimerKey.ProbePeriod, settings.probePeriod))
    groups.databases.keys.forEach { database ->
        update(database) { it.withConfirmsResumed() }
        probe(database)
        sendConfirms(database)
        probeForLeadership(database)
        watchPrimary(database)
    }
}

/** Sends a probe to every server of [database]. */
internal fun GroupsTurn.probe(database: DatabaseName) {
    val known = group(database) ?: return
    known.group.servers.forEach { sendControl(known, it.name, ControlCommand.Probe) }
}

private fun GroupState.withConfirmsResumed(): GroupState =
    confirms.entries
        .filter { it.value == ConfirmChannel.PAUSED }
        .fold(this) { group, entry -> group.copy(confirms = group.confirms.remove(entry.key)) }
