package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Outcome
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.RetryAdvice

/** Pause before a retry that a refusal suggests to the caller. */
private const val RETRY_AFTER_MILLIS = 250L

/** Sends [answer] to the origin of [request] and removes the request. */
internal fun StepBuilder.reply(request: PendingRequest, answer: CallerAnswer) {
    remove(request)
    when (val origin = request.origin) {
        is RequestOrigin.Caller ->
            if (!request.abandoned) answerCaller(request, withoutTransientRefusal(request, answer))

        is RequestOrigin.Peer ->
            emit(Effect.SendPeerMessage(origin.node, PeerMessage.ForwardedAnswer(origin.arrival, answer)))
    }
    finishDrainIfIdle()
}

// A transient refusal of an outcome query is reported as an unknown outcome, because the caller would take "not run" to
// mean that the request in question did not run.
private fun withoutTransientRefusal(request: PendingRequest, answer: CallerAnswer): CallerAnswer =
    if (request.request.body is RequestBody.ResolveOutcome && isTransient(answer)) {
        refusal(ErrorKind.OUTCOME_UNKNOWN, "the outcome could not be determined")
    } else {
        answer
    }

private fun isTransient(answer: CallerAnswer): Boolean =
    answer is CallerAnswer.Refused && answer.kind.advice != RetryAdvice.NEVER

private fun StepBuilder.answerCaller(request: PendingRequest, answer: CallerAnswer) {
    val result =
        when (answer) {
            is CallerAnswer.Completed -> "completed"
            is CallerAnswer.Refused -> answer.kind.label
        }
    count(CounterName.REQUESTS_BY_RESULT, result)
    emit(Effect.AnswerCaller(request.arrival, request.request.identifier, answer))
}

/**
 * Refuses [request] with [kind]. A kind that states "not run" is replaced by [ErrorKind.OUTCOME_UNKNOWN] if an attempt
 * of the request may have taken effect.
 */
internal fun StepBuilder.refuse(request: PendingRequest, kind: ErrorKind, message: String) {
    val isUncertain = request.isOutcomeUnknown && kind.outcome == Outcome.NOT_RUN
    val reportedKind = if (isUncertain) ErrorKind.OUTCOME_UNKNOWN else kind
    val reportedMessage = if (isUncertain) "the request may have run: $message" else message
    reply(request, refusal(reportedKind, reportedMessage))
}

/** Refuses [request] with a [kind] that is correct whether or not earlier attempts took effect. */
internal fun StepBuilder.refuseDefinitively(request: PendingRequest, kind: ErrorKind, message: String) =
    reply(request, refusal(kind, message))

/** Returns a refusal of [kind], with a suggested pause if the kind advises one. */
internal fun refusal(kind: ErrorKind, message: String): CallerAnswer.Refused =
    CallerAnswer.Refused(
        kind = kind,
        message = message,
        retryAfterMillis = if (kind.advice == RetryAdvice.AFTER_A_PAUSE) RETRY_AFTER_MILLIS else null,
    )
