package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.inSeconds
import dev.hibiscusreach.core.model.milliseconds

/** A failover takes two to four seconds while the platform answers; longer waits only pile requests up. */
private val PRIMARY_WAIT: Millis = 5.inSeconds

/** Pause before the same primary is tried again; the period at which its health is probed. */
private val SAME_PRIMARY_PAUSE: Millis = 250.milliseconds

/** Waits a short time for a replica to become fresh enough. */
internal fun Turn.awaitReplica(request: PendingRequest) {
    enter(request, RequestPhase.AwaitingReplica, now + settings.request.freshReplicaWait)
}

/** Waits for a primary other than the one that [rejected] the request, or for the pause before it is tried again. */
internal fun Turn.awaitPrimary(request: PendingRequest, rejected: PrimaryView?, retriesSame: Boolean = true) {
    val until = request.primaryWaitEnd ?: primaryWaitEnd(request)
    if (now >= until) {
        refuse(request, ErrorKind.NO_PRIMARY, "the database has no primary that accepts the request")
    } else {
        enter(
            request.copy(primaryWaitEnd = until),
            RequestPhase.AwaitingPrimary(until, rejected, retriesSame),
            minOf(until, now + SAME_PRIMARY_PAUSE),
        )
    }
}

// A request whose outcome is open is worth its whole deadline, because the caller cannot safely do anything else.
private fun Turn.primaryWaitEnd(request: PendingRequest) =
    if (request.work is Work.Resolve) request.deadline else minOf(request.deadline, now + PRIMARY_WAIT)

/** The primary of [database] as it is known now. */
internal fun Turn.primaryView(database: DatabaseName): PrimaryView? {
    val group = group(database)
    return group.primary?.let { PrimaryView(group.term, it) }
}

/** Lets the waiting requests of [database] go on if they can. */
internal fun Turn.reconsiderWaiting(database: DatabaseName) {
    slice.index.waiting[database].orEmpty().mapNotNull { slice.pending[it] }.forEach(::reconsider)
}

private fun Turn.reconsider(request: PendingRequest) {
    when (val phase = request.phase) {
        is RequestPhase.AwaitingReplica -> route(request)
        is RequestPhase.AwaitingPrimary -> if (canLeave(request, phase)) route(request)
        else -> Unit
    }
}

private fun Turn.canLeave(request: PendingRequest, phase: RequestPhase.AwaitingPrimary): Boolean {
    val view = primaryView(request.database)
    val group = index.group(request.database)
    val work = request.work
    return view != null && view != phase.rejected ||
        work is Work.Read && group != null && chooseForRead(request, work, group) is ReadChoice.Chosen
}

/** Handles the end of a pause in the wait for a primary. */
internal fun Turn.primaryPauseOver(request: PendingRequest, phase: RequestPhase.AwaitingPrimary) {
    val goesOn = phase.retriesSame || canLeave(request, phase)
    if (goesOn && now < phase.until) route(request) else awaitPrimary(request, phase.rejected, phase.retriesSame)
}
