package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.MonotonicTime

/** Stores [request], updates the phase index and returns the request. */
internal fun StepBuilder.store(request: PendingRequest): PendingRequest {
    val before = slice.pending[request.arrival]
    val cleared = if (before == null) slice.phaseIndex else slice.phaseIndex.without(before)
    slice =
        slice.copy(
            pending = slice.pending.put(request.arrival, request),
            phaseIndex = cleared.with(request),
        )
    return request
}

/** Moves [request] to [phase], which times out at [due] or at the request's deadline, whichever is earlier. */
internal fun StepBuilder.enter(request: PendingRequest, phase: RequestPhase, due: MonotonicTime): PendingRequest {
    val bounded = minOf(due, request.deadline)
    startTimer(TimerKey.RequestStep(request.arrival), bounded)
    return store(request.copy(phase = phase, stepDue = bounded))
}

/** Removes [request] and cancels its timers. */
internal fun StepBuilder.remove(request: PendingRequest) {
    val before = slice.pending[request.arrival] ?: return
    slice =
        slice.copy(
            pending = slice.pending.remove(request.arrival),
            phaseIndex = slice.phaseIndex.without(before),
        )
    emit(Effect.CancelTimer(TimerKey.RequestDeadline(request.arrival)))
    emit(Effect.CancelTimer(TimerKey.RequestStep(request.arrival)))
}
