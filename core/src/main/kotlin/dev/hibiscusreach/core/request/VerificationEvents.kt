package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.AttemptNumber

/** Continues after a majority is known to hold the position that [attempt] asked for. */
internal fun StepBuilder.durabilityReached(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase -> verify(request, phase.copy(durable = true)) }

/** Continues after leadership is confirmed for [attempt]. */
internal fun StepBuilder.leadershipConfirmed(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase -> verify(request, phase.copy(leadershipConfirmed = true)) }

/** Continues after the answer of [attempt] could not be verified in time. */
internal fun StepBuilder.notVerified(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase ->
        verificationFailed(store(request.copy(phase = RequestPhase.Arrived)), phase)
    }

private fun StepBuilder.continueVerification(
    attempt: AttemptNumber,
    next: (PendingRequest, RequestPhase.Verifying) -> Unit,
) {
    val request = slice.index.attempts[attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Verifying) next(request, phase)
}
