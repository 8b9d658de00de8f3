package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.GroupRecord
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Term

/** Reads the object again after an answer to the claim was lost. */
internal fun GroupsTurn.verifyClaim(database: DatabaseName, failover: FailoverState.VerifyingClaim) {
    if (failover.platformCall == null) {
        val call = callPlatform(PlatformCall.Get(groupKey(database)))
        moveTo(database, failover.copy(platformCall = call))
    }
}

internal fun GroupsTurn.verifyAtOnce(database: DatabaseName, term: Term, expectedVersion: Long) =
    verifyClaim(database, FailoverState.VerifyingClaim(platformCall = null, term, expectedVersion))

internal fun GroupsTurn.claimVerified(
    known: GroupState,
    failover: FailoverState.VerifyingClaim,
    answer: PlatformAnswer,
) {
    val record = (answer as? PlatformAnswer.Found)?.let { GroupRecords.decode(it.value) }
    when {
        answer is PlatformAnswer.Found && isOwnClaim(record, failover) ->
            startFencing(known.name, failover.proposedTerm, answer.version)
        answer is PlatformAnswer.Failed -> {
            moveTo(known.name, failover.copy(platformCall = null))
            emit(Effect.StartTimer(TimerKey.FailoverStep(known.name), FAILOVER_PAUSE))
        }
        known.needsPrimary(now) -> recordRead(known, answer)
        else -> pause(known.name)
    }
}

private fun GroupsTurn.isOwnClaim(record: GroupRecord?, failover: FailoverState.VerifyingClaim): Boolean =
    record?.proposer == state.settings.self && record.term == failover.proposedTerm
