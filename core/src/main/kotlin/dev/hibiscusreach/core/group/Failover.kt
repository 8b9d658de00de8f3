package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.milliseconds

/** Pause before the next try after a failed one, also while the platform is down. */
internal val FAILOVER_PAUSE = 500.milliseconds

internal fun GroupsTurn.send(to: NodeIdentity, message: PeerMessage) = emit(Effect.SendPeerMessage(to, message))

internal fun GroupsTurn.moveTo(database: DatabaseName, next: FailoverState) =
    update(database) { it.copy(failover = next) }

/** Goes back to watching, and not into a new failover before the pause is over. */
internal fun GroupsTurn.pause(database: DatabaseName) {
    update(database) { it.copy(failover = FailoverState.Watching, failoverNotBefore = now + FAILOVER_PAUSE) }
    emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
}

/** Gives the claimed term up. A new try claims a higher one without waiting for another proposer. */
internal fun GroupsTurn.abandonTerm(database: DatabaseName) {
    pause(database)
    update(database) { it.copy(highestTermSince = now - settings.failoverTimeout) }
}

/** Ends the failover because a primary of the current term is known; records it if this process promoted it. */
internal fun GroupsTurn.concludeFailover(database: DatabaseName) {
    val known = group(database) ?: return
    val failover = known.failover
    if (failover is FailoverState.Promoting && failover.proposedTerm == known.term) {
        finishPromotion(database, failover)
    } else {
        moveTo(database, FailoverState.Watching)
        emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
    }
    repairAll(database)
}

/** Does what the failover's step does when its wait is over. */
internal fun GroupsTurn.failoverStepDue(database: DatabaseName) {
    when (val failover = group(database)?.failover) {
        is FailoverState.CollectingSightings -> weighSightings(database, failover.reports)
        is FailoverState.AwaitingTurn -> takeTurn(database)
        is FailoverState.VerifyingClaim -> verifyClaim(database, failover)
        is FailoverState.Fencing -> continueFencing(database, failover)
        is FailoverState.Promoting -> continuePromotion(database, failover)
        is FailoverState.Recording -> recordPrimary(database, failover)
        else -> Unit
    }
}
