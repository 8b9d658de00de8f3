package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.MonotonicTime

/** Keeps [request] as it is now. */
internal fun Turn.keep(request: PendingRequest): PendingRequest {
    val before = slice.pending[request.arrival]
    val cleared = if (before == null) slice.index else slice.index.without(before)
    slice =
        slice.copy(
            pending = slice.pending.put(request.arrival, request),
            index = cleared.with(request),
        )
    return request
}

/** Lets [request] wait in [phase] until [due] at the latest; no wait is longer than the request's deadline. */
internal fun Turn.enter(request: PendingRequest, phase: RequestPhase, due: MonotonicTime): PendingRequest {
    val bounded = minOf(due, request.deadline)
    startTimer(TimerKey.RequestStep(request.arrival), bounded)
    return keep(request.copy(phase = phase, stepDue = bounded))
}

/** Forgets [request]. */
internal fun Turn.drop(request: PendingRequest) {
    val before = slice.pending[request.arrival] ?: return
    slice =
        slice.copy(
            pending = slice.pending.remove(request.arrival),
            index = slice.index.without(before),
        )
    emit(Effect.CancelTimer(TimerKey.RequestDeadline(request.arrival)))
    emit(Effect.CancelTimer(TimerKey.RequestStep(request.arrival)))
}
