package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import kotlinx.collections.immutable.PersistentMap

/** Detects by the probe timer that this process did not run, before anything is decided with outdated knowledge. */
internal fun GroupsTurn.noticePause() {
    val lastTickAt = groups.lastTickAt ?: return
    if (now - lastTickAt > settings.probePeriod + settings.suspicionAfter) {
        groups = groups.copy(lastTickAt = now)
        resume()
    }
}

/** Gives up all failovers and judges the primaries by new probes only. */
internal fun GroupsTurn.resume() {
    groups.databases.keys.forEach { database ->
        emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
        update(database) {
            it.copy(
                monitoredSince = now,
                highestTermSince = now,
                failover = FailoverState.Watching,
                health = it.health.mapValuesPersistent { known ->
                    known.copy(refusedAt = null, refusedRepeatedly = false)
                },
            )
        }
        probe(database)
    }
}

private fun <K, V> PersistentMap<K, V>.mapValuesPersistent(change: (V) -> V) =
    entries.fold(this) { map, entry -> map.put(entry.key, change(entry.value)) }
