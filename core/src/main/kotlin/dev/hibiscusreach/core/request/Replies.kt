package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Outcome
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.RetryAdvice

private const val PAUSE_MILLIS = 250L

/** Gives [answer] to where [request] came from and forgets the request. */
internal fun Turn.reply(request: PendingRequest, answer: CallerAnswer) {
    drop(request)
    when (val origin = request.origin) {
        is RequestOrigin.Caller -> if (!request.abandoned) answerCaller(request, truthful(request, answer))

        is RequestOrigin.Peer ->
            emit(Effect.SendPeerMessage(origin.node, PeerMessage.ForwardedAnswer(origin.arrival, answer)))
    }
    finishDrainIfIdle()
}

// A refused question about an outcome must not be read as "the request in question did not run".
private fun truthful(request: PendingRequest, answer: CallerAnswer): CallerAnswer =
    if (request.request.body is RequestBody.ResolveOutcome && isTransient(answer)) {
        refusal(ErrorKind.OUTCOME_UNKNOWN, "the outcome could not be found out")
    } else {
        answer
    }

private fun isTransient(answer: CallerAnswer): Boolean =
    answer is CallerAnswer.Refused && answer.kind.advice != RetryAdvice.NEVER

private fun Turn.answerCaller(request: PendingRequest, answer: CallerAnswer) {
    val result =
        when (answer) {
            is CallerAnswer.Completed -> "completed"
            is CallerAnswer.Refused -> answer.kind.label
        }
    count(CounterName.REQUESTS_BY_RESULT, result)
    emit(Effect.AnswerCaller(request.arrival, request.request.identifier, answer))
}

/**
 * Refuses [request]. A kind that states "not run" becomes [ErrorKind.OUTCOME_UNKNOWN] if an attempt of the request may
 * have taken effect.
 */
internal fun Turn.refuse(request: PendingRequest, kind: ErrorKind, message: String) {
    val isOpen = request.outcomeOpen && kind.outcome == Outcome.NOT_RUN
    val stated = if (isOpen) ErrorKind.OUTCOME_UNKNOWN else kind
    val explanation = if (isOpen) "the request may have run: $message" else message
    reply(request, refusal(stated, explanation))
}

/** Refuses [request] with a [kind] that is certain, whatever happened to earlier attempts. */
internal fun Turn.refuseAsSettled(request: PendingRequest, kind: ErrorKind, message: String) =
    reply(request, refusal(kind, message))

internal fun refusal(kind: ErrorKind, message: String): CallerAnswer.Refused =
    CallerAnswer.Refused(
        kind = kind,
        message = message,
        retryAfterMillis = if (kind.advice == RetryAdvice.AFTER_A_PAUSE) PAUSE_MILLIS else null,
    )
