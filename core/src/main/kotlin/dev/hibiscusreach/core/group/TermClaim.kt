package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.GroupRecord
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Term

/** Reads the group's object, which is the first step of claiming a term. */
internal fun GroupsStepBuilder.readRecord(database: DatabaseName) {
    emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
    setFailover(database, FailoverState.ReadingRecord(callPlatform(PlatformCall.Get(groupKey(database)))))
}

/** Continues the failover with the platform's answer to the call that it waits for. */
internal fun GroupsStepBuilder.handleFailoverAnswer(groupState: GroupState, answer: PlatformAnswer) {
    when (val failover = groupState.failover) {
        is FailoverState.ReadingRecord -> handleRecordRead(groupState, answer)
        is FailoverState.Claiming -> handleClaimAnswer(groupState, failover, answer)
        is FailoverState.VerifyingClaim -> handleClaimVerification(groupState, failover, answer)
        is FailoverState.Recording -> handleRecordWrite(groupState.name, failover, answer)
        else -> Unit
    }
}

/** Claims the next term unless the record names a newer primary or the proposer of a higher term is still live. */
internal fun GroupsStepBuilder.handleRecordRead(groupState: GroupState, answer: PlatformAnswer) {
    when (answer) {
        is PlatformAnswer.Missing -> claim(groupState, groupState.highestTerm.next(), expectedVersion = 0)
        is PlatformAnswer.Found -> {
            val record = GroupRecordCodec.decode(answer.value)
            if (record == null) {
                handleUnreadableRecord(groupState.name)
            } else {
                claimNextTerm(groupState, record, answer.version)
            }
        }
        else -> backOff(groupState.name)
    }
}

private fun GroupsStepBuilder.claimNextTerm(groupState: GroupState, record: GroupRecord, version: Long) {
    val isLatestTerm = record.term > groupState.term && record.term >= groupState.highestTerm
    when {
        isLatestTerm && record.primary != null -> adoptPrimary(groupState.name, record.term, record.primary)
        // Another live proposer has claimed a term. No higher term is claimed before the failover timeout.
        record.term > groupState.highestTerm && isProposerActive(record) -> {
            updateHighestTerm(groupState.name, record.term)
            backOff(groupState.name)
        }
        !groupState.needsNewPrimary(now) -> backOff(groupState.name)
        else -> claim(groupState, maxOf(record.term, groupState.highestTerm).next(), version)
    }
}

private fun GroupsStepBuilder.isProposerActive(record: GroupRecord): Boolean =
    record.proposer != null && record.proposer != state.settings.self && state.membership.isLive(record.proposer)

private fun GroupsStepBuilder.claim(groupState: GroupState, term: Term, expectedVersion: Long) {
    val record = GroupRecord(term = term, primary = null, proposer = state.settings.self)
    val put = PlatformCall.Put(groupKey(groupState.name), GroupRecordCodec.encode(record), expectedVersion)
    val fields =
        mapOf(
            "database" to groupState.name.value,
            "term" to term.toString(),
            "lostPrimary" to groupState.primary?.value.orEmpty(),
        )
    emit(Effect.Log(LogLevel.WARN, "claiming a term because the database has no working primary", fields))
    setFailover(groupState.name, FailoverState.Claiming(callPlatform(put), term, expectedVersion))
}

// The object may hold this claim even after a conflict: the platform may have repeated a call whose answer was lost.
private fun GroupsStepBuilder.handleClaimAnswer(
    groupState: GroupState,
    failover: FailoverState.Claiming,
    answer: PlatformAnswer,
) {
    if (answer is PlatformAnswer.Stored) {
        startFencing(groupState.name, failover.proposedTerm, answer.version)
    } else {
        startClaimVerification(groupState.name, failover.proposedTerm, failover.expectedVersion)
    }
}

private fun GroupsStepBuilder.handleUnreadableRecord(database: DatabaseName) {
    emit(Effect.Log(LogLevel.ERROR, "group object cannot be read", mapOf("database" to database.value)))
    backOff(database)
}
