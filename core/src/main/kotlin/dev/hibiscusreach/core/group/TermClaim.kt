package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.GroupRecord
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Term

/** Reads the group's object, the first step of a claim. */
internal fun GroupsTurn.readRecord(database: DatabaseName) {
    emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
    moveTo(database, FailoverState.ReadingRecord(callPlatform(PlatformCall.Get(groupKey(database)))))
}

/** Takes in the platform's answer to the call that the failover waits for. */
internal fun GroupsTurn.takePlatformAnswer(known: GroupState, answer: PlatformAnswer) {
    when (val failover = known.failover) {
        is FailoverState.ReadingRecord -> recordRead(known, answer)
        is FailoverState.Claiming -> claimAnswered(known, failover, answer)
        is FailoverState.VerifyingClaim -> claimVerified(known, failover, answer)
        is FailoverState.Recording -> recordAnswered(known.name, failover, answer)
        else -> Unit
    }
}

internal fun GroupsTurn.recordRead(known: GroupState, answer: PlatformAnswer) {
    when (answer) {
        is PlatformAnswer.Missing -> claim(known, known.highestTerm.next(), expectedVersion = 0)
        is PlatformAnswer.Found -> {
            val record = GroupRecords.decode(answer.value)
            if (record == null) recordUnreadable(known.name) else claimAbove(known, record, answer.version)
        }
        else -> pause(known.name)
    }
}

private fun GroupsTurn.claimAbove(known: GroupState, record: GroupRecord, version: Long) {
    val current = record.term > known.term && record.term >= known.highestTerm
    when {
        current && record.primary != null -> adopt(known.name, record.term, record.primary)
        // Another proposer is at work. Its term is left alone for the failover's time, unless the proposer is gone.
        record.term > known.highestTerm && isAtWork(record) -> {
            noteTerm(known.name, record.term)
            pause(known.name)
        }
        !known.needsPrimary(now) -> pause(known.name)
        else -> claim(known, maxOf(record.term, known.highestTerm).next(), version)
    }
}

private fun GroupsTurn.isAtWork(record: GroupRecord): Boolean =
    record.proposer != null && record.proposer != state.settings.self && state.membership.isLive(record.proposer)

private fun GroupsTurn.claim(known: GroupState, term: Term, expectedVersion: Long) {
    val record = GroupRecord(term = term, primary = null, proposer = state.settings.self)
    val put = PlatformCall.Put(groupKey(known.name), GroupRecords.encode(record), expectedVersion)
    val fields =
        mapOf(
            "database" to known.name.value,
            "term" to term.toString(),
            "lostPrimary" to known.primary?.value.orEmpty(),
        )
    emit(Effect.Log(LogLevel.WARN, "claiming a term because the database has no working primary", fields))
    moveTo(known.name, FailoverState.Claiming(callPlatform(put), term, expectedVersion))
}

// After a conflict the object may hold this claim, too: the platform may have repeated a call whose answer it lost.
private fun GroupsTurn.claimAnswered(known: GroupState, failover: FailoverState.Claiming, answer: PlatformAnswer) {
    if (answer is PlatformAnswer.Stored) {
        startFencing(known.name, failover.proposedTerm, answer.version)
    } else {
        verifyAtOnce(known.name, failover.proposedTerm, failover.expectedVersion)
    }
}

private fun GroupsTurn.recordUnreadable(database: DatabaseName) {
    emit(Effect.Log(LogLevel.ERROR, "group object cannot be read", mapOf("database" to database.value)))
    pause(database)
}
