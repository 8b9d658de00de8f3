package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName

/** Answers the requests whose wait an observation ended, and keeps the others going. */
internal fun GroupsTurn.completeWaits(database: DatabaseName) {
    val known = group(database) ?: return
    val verifiedAt = known.leadershipVerifiedAt()
    val durable = known.durabilityWaits.filterValues { known.isSettled(it.position) }.keys
    val confirmed = known.leadershipWaits.filterValues { verifiedAt != null && verifiedAt >= it.since }.keys
    durable.forEach { endDurabilityWait(database, it, Signal.DurabilityReached(it)) }
    confirmed.forEach { endLeadershipWait(database, it, Signal.LeadershipConfirmed(it)) }
    sendConfirms(database)
    probeForLeadership(database)
}

/** Ends all waits of [database] because its term changed or this process is not its home any more. */
internal fun GroupsTurn.failWaits(database: DatabaseName) {
    val known = group(database) ?: return
    known.durabilityWaits
        .filterValues { it.position.term < known.term || known.retiredAt != null }
        .keys
        .forEach { endDurabilityWait(database, it, Signal.DurabilityNotReached(it)) }
    known.leadershipWaits.keys.forEach { endLeadershipWait(database, it, Signal.LeadershipNotConfirmed(it)) }
}

/** Ends the wait of [attempt] because its time ran out. */
internal fun GroupsTurn.durabilityTimedOut(attempt: AttemptNumber) {
    groups.databases.values
        .filter { attempt in it.durabilityWaits }
        .forEach { endDurabilityWait(it.name, attempt, Signal.DurabilityNotReached(attempt)) }
}

/** Ends the wait of [attempt] because its time ran out. */
internal fun GroupsTurn.leadershipTimedOut(attempt: AttemptNumber) {
    groups.databases.values
        .filter { attempt in it.leadershipWaits }
        .forEach { endLeadershipWait(it.name, attempt, Signal.LeadershipNotConfirmed(attempt)) }
}

internal fun GroupsTurn.endDurabilityWait(database: DatabaseName, attempt: AttemptNumber, answer: Signal) {
    update(database) { it.copy(durabilityWaits = it.durabilityWaits.remove(attempt)) }
    emit(Effect.CancelTimer(TimerKey.DurabilityTimeout(attempt)))
    signal(answer)
}

internal fun GroupsTurn.endLeadershipWait(database: DatabaseName, attempt: AttemptNumber, answer: Signal) {
    update(database) { it.copy(leadershipWaits = it.leadershipWaits.remove(attempt)) }
    emit(Effect.CancelTimer(TimerKey.LeadershipTimeout(attempt)))
    signal(answer)
}
