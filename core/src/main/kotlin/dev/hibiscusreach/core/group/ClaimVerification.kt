package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.GroupRecord
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Term

/** Reads the group's object to find out whether a claim whose answer was lost took effect. */
internal fun GroupsStepBuilder.verifyClaim(database: DatabaseName, failover: FailoverState.VerifyingClaim) {
    if (failover.platformCall == null) {
        val call = callPlatform(PlatformCall.Get(groupKey(database)))
        setFailover(database, failover.copy(platformCall = call))
    }
}

/** Starts to verify the claim of [term], which replaced version [expectedVersion] of the group's object. */
internal fun GroupsStepBuilder.startClaimVerification(database: DatabaseName, term: Term, expectedVersion: Long) =
    verifyClaim(database, FailoverState.VerifyingClaim(platformCall = null, term, expectedVersion))

/** Starts fencing if the object holds this process's claim, and reads it again later if the platform failed. */
internal fun GroupsStepBuilder.handleClaimVerification(
    groupState: GroupState,
    failover: FailoverState.VerifyingClaim,
    answer: PlatformAnswer,
) {
    val record = (answer as? PlatformAnswer.Found)?.let { GroupRecordCodec.decode(it.value) }
    when {
        answer is PlatformAnswer.Found && isOwnClaim(record, failover) ->
            startFencing(groupState.name, failover.proposedTerm, answer.version)
        answer is PlatformAnswer.Failed -> {
            setFailover(groupState.name, failover.copy(platformCall = null))
            emit(Effect.StartTimer(TimerKey.FailoverStep(groupState.name), FAILOVER_RETRY_DELAY))
        }
        groupState.needsNewPrimary(now) -> handleRecordRead(groupState, answer)
        else -> backOff(groupState.name)
    }
}

private fun GroupsStepBuilder.isOwnClaim(record: GroupRecord?, failover: FailoverState.VerifyingClaim): Boolean =
    record?.proposer == state.settings.self && record.term == failover.proposedTerm
