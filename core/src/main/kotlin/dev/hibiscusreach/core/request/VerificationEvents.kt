package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.AttemptNumber

/** Continues [attempt] after a majority was found to hold the position of its answer. */
internal fun StepBuilder.onDurabilityReached(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase -> verify(request, phase.copy(durable = true)) }

/** Continues [attempt] after the leadership of its server was confirmed. */
internal fun StepBuilder.onLeadershipConfirmed(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase -> verify(request, phase.copy(leadershipConfirmed = true)) }

/** Handles an answer of [attempt] that could not be verified, because the term changed or the wait timed out. */
internal fun StepBuilder.onVerificationFailed(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase ->
        handleUnverifiedAnswer(store(request.copy(phase = RequestPhase.Arrived)), phase)
    }

private fun StepBuilder.continueVerification(
    attempt: AttemptNumber,
    next: (PendingRequest, RequestPhase.Verifying) -> Unit,
) {
    val request = slice.phaseIndex.byAttempt[attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Verifying) next(request, phase)
}
