package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import kotlinx.collections.immutable.PersistentMap

/** Detects by an overdue probe timer that this process was paused, before it decides on outdated observations. */
internal fun GroupsStepBuilder.detectPause() {
    val lastProbePeriodAt = groups.lastProbePeriodAt ?: return
    if (now - lastProbePeriodAt > settings.probePeriod + settings.suspicionAfter) {
        groups = groups.copy(lastProbePeriodAt = now)
        resetAfterPause()
    }
}

/** Cancels all failovers and probes all groups, so that only answers after the pause count. */
internal fun GroupsStepBuilder.resetAfterPause() {
    groups.databases.keys.forEach { database ->
        emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
        update(database) {
            it.copy(
                monitoredSince = now,
                highestTermSince = now,
                failover = FailoverState.Watching,
                health =
                it.health.mapValuesPersistent { serverHealth ->
                    serverHealth.copy(refusedAt = null, refusedRepeatedly = false, followedTerm = null)
                },
            )
        }
        probe(database)
    }
}

private fun <K, V> PersistentMap<K, V>.mapValuesPersistent(change: (V) -> V) =
    entries.fold(this) { map, entry -> map.put(entry.key, change(entry.value)) }
