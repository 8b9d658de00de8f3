package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.model.seconds

/**
 * Longest wait for a new primary. By the default settings a failover takes about 3 s: detection 1 s, sightings 0.3 s,
 * the stagger of two proposers 1.4 s and fencing 0.2 s. Longer waits accumulate requests during an outage.
 */
private val PRIMARY_WAIT: Millis = 5.seconds

/** Pause before the same primary is tried again; the period at which its health is probed. */
private val SAME_PRIMARY_PAUSE: Millis = 250.milliseconds

/** Waits a short time for a replica to become fresh enough. */
internal fun StepBuilder.awaitReplica(request: PendingRequest) {
    enter(request, RequestPhase.AwaitingReplica, now + settings.request.freshReplicaWait)
}

/** Waits for a primary other than the one that [rejected] the request, or for the pause before it is tried again. */
internal fun StepBuilder.awaitPrimary(request: PendingRequest, rejected: PrimaryView?, retriesSame: Boolean = true) {
    val until = request.primaryWaitEnd ?: primaryWaitEnd(request)
    if (now >= until) {
        val kind = if (acceptsOlderData(request)) ErrorKind.READ_TOO_OLD else ErrorKind.NO_PRIMARY
        refuse(request, kind, "the database has no primary that accepts the request")
    } else {
        enter(
            request.copy(primaryWaitEnd = until),
            RequestPhase.AwaitingPrimary(until, rejected, retriesSame),
            minOf(until, now + SAME_PRIMARY_PAUSE),
        )
    }
}

private fun acceptsOlderData(request: PendingRequest): Boolean =
    (request.work as? Work.Read)?.let { it.maximumAge.value > 0 } == true

// A resolution uses the whole deadline, because the alternative is an unknown outcome.
private fun StepBuilder.primaryWaitEnd(request: PendingRequest) =
    if (request.work is Work.Resolve) request.deadline else minOf(request.deadline, now + PRIMARY_WAIT)

/** The primary of [database] as it is known now. */
internal fun StepBuilder.primaryView(database: DatabaseName): PrimaryView? {
    val group = group(database)
    return group.primary?.let { PrimaryView(group.term, it) }
}

/** Routes the waiting requests of [database] again if a usable server is known. */
internal fun StepBuilder.reconsiderWaiting(database: DatabaseName) {
    slice.index.waiting[database].orEmpty().mapNotNull { slice.pending[it] }.forEach(::reconsider)
}

private fun StepBuilder.reconsider(request: PendingRequest) {
    when (val phase = request.phase) {
        is RequestPhase.AwaitingReplica -> route(request)
        is RequestPhase.AwaitingPrimary -> if (canLeave(request, phase)) route(request)
        else -> Unit
    }
}

private fun StepBuilder.canLeave(request: PendingRequest, phase: RequestPhase.AwaitingPrimary): Boolean {
    val view = primaryView(request.database)
    val group = index.group(request.database)
    val work = request.work
    return view != null && view != phase.rejected ||
        work is Work.Read && group != null && chooseForRead(request, work, group) is ReadChoice.Chosen
}

/** Handles the end of a pause in the wait for a primary. */
internal fun StepBuilder.primaryPauseOver(request: PendingRequest, phase: RequestPhase.AwaitingPrimary) {
    val goesOn = phase.retriesSame || canLeave(request, phase)
    if (goesOn && now < phase.until) route(request) else awaitPrimary(request, phase.rejected, phase.retriesSame)
}
