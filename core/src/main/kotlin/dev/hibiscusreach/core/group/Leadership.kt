package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName

/** Answers as soon as a majority answered in the current term to something sent at or after the wanted time. */
internal fun GroupsTurn.wantLeadership(wanted: Signal.LeadershipCheckRequested) {
    val known = group(wanted.database)
    val verifiedAt = known?.leadershipVerifiedAt()
    when {
        known?.primary == null || wanted.waitUntil <= now -> signal(Signal.LeadershipNotConfirmed(wanted.attempt))
        verifiedAt != null && verifiedAt >= wanted.since -> signal(Signal.LeadershipConfirmed(wanted.attempt))
        else -> {
            val wait = LeadershipWait(wanted.since, wanted.waitUntil)
            update(wanted.database) { it.copy(leadershipWaits = it.leadershipWaits.put(wanted.attempt, wait)) }
            emit(Effect.StartTimer(TimerKey.LeadershipTimeout(wanted.attempt), wanted.waitUntil - now))
            probeForLeadership(wanted.database)
        }
    }
}

/**
 * Sends probes at once if a request waits for a leadership check that no probe on its way can complete. At most one
 * round is on its way, so that many requests share the next one.
 */
internal fun GroupsTurn.probeForLeadership(database: DatabaseName) {
    val known = group(database) ?: return
    val latest = known.leadershipWaits.values.maxOfOrNull { it.since } ?: return
    val verifiedAt = known.leadershipVerifiedAt()
    val roundEnded =
        (verifiedAt != null && verifiedAt >= known.leadershipProbedAt) ||
            now - known.leadershipProbedAt >= settings.probePeriod
    if (roundEnded && known.leadershipProbedAt < latest) {
        update(database) { it.copy(leadershipProbedAt = now) }
        probe(database)
    }
}
