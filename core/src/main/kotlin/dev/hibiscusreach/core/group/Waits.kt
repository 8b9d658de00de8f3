package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName

/** Answers the requests whose condition is met now, and sends the commands that the others still need. */
internal fun GroupsStepBuilder.completeWaits(database: DatabaseName) {
    val groupState = group(database) ?: return
    val verifiedAt = groupState.leadershipVerifiedAt()
    val durable = groupState.durabilityWaits.filterValues { groupState.isDurable(it.position) }.keys
    val confirmed = groupState.leadershipWaits.filterValues { verifiedAt != null && verifiedAt >= it.since }.keys
    durable.forEach { endDurabilityWait(database, it, Signal.DurabilityReached(it)) }
    confirmed.forEach { endLeadershipWait(database, it, Signal.LeadershipConfirmed(it)) }
    sendConfirms(database)
    probeForLeadership(database)
}

/** Fails the waits of [database] that a new term or the move of its home made impossible to complete. */
internal fun GroupsStepBuilder.failWaits(database: DatabaseName) {
    val groupState = group(database) ?: return
    groupState.durabilityWaits
        .filterValues { it.position.term < groupState.term || groupState.retiredAt != null }
        .keys
        .forEach { endDurabilityWait(database, it, Signal.DurabilityNotReached(it)) }
    groupState.leadershipWaits.keys.forEach { endLeadershipWait(database, it, Signal.LeadershipNotConfirmed(it)) }
}

/** Fails the durability wait of [attempt] because its time ran out. */
internal fun GroupsStepBuilder.handleDurabilityTimeout(attempt: AttemptNumber) {
    groups.databases.values
        .filter { attempt in it.durabilityWaits }
        .forEach { endDurabilityWait(it.name, attempt, Signal.DurabilityNotReached(attempt)) }
}

/** Fails the leadership wait of [attempt] because its time ran out. */
internal fun GroupsStepBuilder.handleLeadershipTimeout(attempt: AttemptNumber) {
    groups.databases.values
        .filter { attempt in it.leadershipWaits }
        .forEach { endLeadershipWait(it.name, attempt, Signal.LeadershipNotConfirmed(attempt)) }
}

/** Ends the durability wait of [attempt] with [answer]. */
internal fun GroupsStepBuilder.endDurabilityWait(database: DatabaseName, attempt: AttemptNumber, answer: Signal) {
    update(database) { it.copy(durabilityWaits = it.durabilityWaits.remove(attempt)) }
    emit(Effect.CancelTimer(TimerKey.DurabilityTimeout(attempt)))
    signal(answer)
}

/** Ends the leadership wait of [attempt] with [answer]. */
internal fun GroupsStepBuilder.endLeadershipWait(database: DatabaseName, attempt: AttemptNumber, answer: Signal) {
    update(database) { it.copy(leadershipWaits = it.leadershipWaits.remove(attempt)) }
    emit(Effect.CancelTimer(TimerKey.LeadershipTimeout(attempt)))
    signal(answer)
}
