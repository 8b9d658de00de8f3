package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.AttemptNumber

/** Goes on when a majority is known to hold the position that [attempt] asked for. */
internal fun Turn.durabilityReached(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase -> verify(request, phase.copy(durable = true)) }

/** Goes on when leadership is confirmed for [attempt]. */
internal fun Turn.leadershipConfirmed(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase -> verify(request, phase.copy(leadershipConfirmed = true)) }

/** Goes on when the answer of [attempt] cannot be relied on. */
internal fun Turn.notVerified(attempt: AttemptNumber) =
    continueVerification(attempt) { request, phase ->
        verificationFailed(keep(request.copy(phase = RequestPhase.Arrived)), phase)
    }

private fun Turn.continueVerification(
    attempt: AttemptNumber,
    next: (PendingRequest, RequestPhase.Verifying) -> Unit,
) {
    val request = slice.index.attempts[attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Verifying) next(request, phase)
}
