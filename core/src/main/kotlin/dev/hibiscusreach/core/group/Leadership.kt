package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName

/** Confirms the leadership once a majority answered in the current term to commands sent at or after the given time. */
internal fun GroupsStepBuilder.awaitLeadership(request: Signal.LeadershipCheckRequested) {
    val groupState = group(request.database)
    val verifiedAt = groupState?.leadershipVerifiedAt()
    when {
        groupState?.primary == null || request.waitUntil <= now ->
            signal(Signal.LeadershipNotConfirmed(request.attempt))
        verifiedAt != null && verifiedAt >= request.since -> signal(Signal.LeadershipConfirmed(request.attempt))
        else -> {
            val wait = LeadershipWait(request.since, request.waitUntil)
            update(request.database) { it.copy(leadershipWaits = it.leadershipWaits.put(request.attempt, wait)) }
            emit(Effect.StartTimer(TimerKey.LeadershipTimeout(request.attempt), request.waitUntil - now))
            probeForLeadership(request.database)
        }
    }
}

/**
 * Sends probes at once if a request waits for a leadership check that no outstanding probe can complete. At most one
 * round of probes is outstanding, so that many requests share the next round.
 */
internal fun GroupsStepBuilder.probeForLeadership(database: DatabaseName) {
    val groupState = group(database) ?: return
    val latest = groupState.leadershipWaits.values.maxOfOrNull { it.since } ?: return
    val verifiedAt = groupState.leadershipVerifiedAt()
    val roundEnded =
        (verifiedAt != null && verifiedAt >= groupState.leadershipProbedAt) ||
            now - groupState.leadershipProbedAt >= settings.probePeriod
    if (roundEnded && groupState.leadershipProbedAt < latest) {
        update(database) { it.copy(leadershipProbedAt = now) }
        probe(database)
    }
}
