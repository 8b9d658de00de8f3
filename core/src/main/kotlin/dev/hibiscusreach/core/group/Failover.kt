package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.milliseconds

/** Delay before a failed step is tried again, also while the platform is unavailable. */
internal val FAILOVER_RETRY_DELAY = 500.milliseconds

/** Sends [message] to the peer [to]; delivery is not guaranteed. */
internal fun GroupsStepBuilder.sendToPeer(to: NodeIdentity, message: PeerMessage) =
    emit(Effect.SendPeerMessage(to, message))

/** Makes [next] the state of the failover of [database]. */
internal fun GroupsStepBuilder.setFailover(database: DatabaseName, next: FailoverState) =
    update(database) { it.copy(failover = next) }

/** Cancels the failover and starts no new one within [FAILOVER_RETRY_DELAY]. */
internal fun GroupsStepBuilder.backOff(database: DatabaseName) {
    update(database) { it.copy(failover = FailoverState.Watching, failoverNotBefore = now + FAILOVER_RETRY_DELAY) }
    emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
}

/** Abandons the claimed term. The next attempt claims a higher one without waiting for another proposer. */
internal fun GroupsStepBuilder.abandonTerm(database: DatabaseName) {
    backOff(database)
    update(database) { it.copy(highestTermSince = now - settings.failoverTimeout) }
}

/** Ends the failover after a primary of the current term became known; records it if this process promoted it. */
internal fun GroupsStepBuilder.endFailover(database: DatabaseName) {
    val groupState = group(database) ?: return
    val failover = groupState.failover
    if (failover is FailoverState.Promoting && failover.proposedTerm == groupState.term) {
        finishPromotion(database, failover)
    } else {
        setFailover(database, FailoverState.Watching)
        emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
    }
    ensureAllFollowing(database)
}

/** Continues the failover after the timer of its current step ran out. */
internal fun GroupsStepBuilder.handleFailoverTimer(database: DatabaseName) {
    when (val failover = group(database)?.failover) {
        is FailoverState.CollectingSightings -> evaluateSightings(database, failover.reports)
        is FailoverState.DelayingProposal -> proposeIfStillNeeded(database)
        is FailoverState.VerifyingClaim -> verifyClaim(database, failover)
        is FailoverState.Fencing -> continueFencing(database, failover)
        is FailoverState.Promoting -> continuePromotion(database, failover)
        is FailoverState.Recording -> recordPrimary(database, failover)
        else -> Unit
    }
}
