package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.model.seconds

/**
 * Longest wait for a new primary. With the default settings a failover takes about 3 s: detection 1 s, sightings 0.3 s,
 * the stagger of two proposers 1.4 s and fencing 0.2 s. With a longer wait, requests accumulate during an outage.
 */
private val MAXIMUM_PRIMARY_WAIT: Millis = 5.seconds

/** Pause before a retry at the same primary, equal to the default period of the health probes. */
private val SAME_PRIMARY_PAUSE: Millis = 250.milliseconds

/** Waits for a replica to become fresh enough, at most for the configured time. */
internal fun StepBuilder.awaitReplica(request: PendingRequest) {
    enter(request, RequestPhase.AwaitingReplica, now + settings.request.freshReplicaWait)
}

/** Waits for a primary other than [rejected], or for the pause before the request is sent to the same one again. */
internal fun StepBuilder.awaitPrimary(
    request: PendingRequest,
    rejected: PrimaryView?,
    retriesSamePrimary: Boolean = true,
) {
    val until = request.primaryWaitEnd ?: primaryWaitEnd(request)
    if (now >= until) {
        val kind = if (acceptsOlderData(request)) ErrorKind.READ_TOO_OLD else ErrorKind.NO_PRIMARY
        refuse(request, kind, "the database has no primary that accepts the request")
    } else {
        enter(
            request.copy(primaryWaitEnd = until),
            RequestPhase.AwaitingPrimary(until, rejected, retriesSamePrimary),
            minOf(until, now + SAME_PRIMARY_PAUSE),
        )
    }
}

private fun acceptsOlderData(request: PendingRequest): Boolean =
    (request.operation as? Operation.Read)?.let { it.maximumAge.value > 0 } == true

// Resolving an outcome may take until the deadline, because the alternative is to report the outcome as unknown.
private fun StepBuilder.primaryWaitEnd(request: PendingRequest) =
    if (request.operation is Operation.Resolve) {
        request.deadline
    } else {
        minOf(request.deadline, now + MAXIMUM_PRIMARY_WAIT)
    }

/** Returns the term and primary of [database] as known now, or null if the primary is unknown. */
internal fun StepBuilder.primaryView(database: DatabaseName): PrimaryView? {
    val group = group(database)
    return group.primary?.let { PrimaryView(group.term, it) }
}

/** Routes the waiting requests of [database] again if a usable server may be known now. */
internal fun StepBuilder.reconsiderWaiting(database: DatabaseName) {
    slice.phaseIndex.waitingByDatabase[database].orEmpty().mapNotNull { slice.pending[it] }.forEach(::reconsider)
}

private fun StepBuilder.reconsider(request: PendingRequest) {
    when (val phase = request.phase) {
        is RequestPhase.AwaitingReplica -> route(request)
        is RequestPhase.AwaitingPrimary -> if (canProceed(request, phase)) route(request)
        else -> Unit
    }
}

private fun StepBuilder.canProceed(request: PendingRequest, phase: RequestPhase.AwaitingPrimary): Boolean {
    val view = primaryView(request.database)
    val group = configurationIndex.group(request.database)
    val operation = request.operation
    return view != null && view != phase.rejected ||
        operation is Operation.Read && group != null && chooseReadServer(request, operation, group) is ReadChoice.Chosen
}

/** Handles the end of a pause in the wait for a primary. */
internal fun StepBuilder.endPrimaryPause(request: PendingRequest, phase: RequestPhase.AwaitingPrimary) {
    val isRoutable = phase.retriesSamePrimary || canProceed(request, phase)
    if (isRoutable && now < phase.until) {
        route(request)
    } else {
        awaitPrimary(request, phase.rejected, phase.retriesSamePrimary)
    }
}
