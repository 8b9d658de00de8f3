package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.Outcome
import kotlinx.serialization.json.Json

/** Status, JSON body and retry delay of an HTTP response to a caller. */
class EncodedAnswer(val status: Int, val body: String, val retryAfterMillis: Long? = null)

/** Encodes answers as HTTP responses and signs their session tokens. */
class AnswerEncoder(private val signer: TokenSigner) {
    /** Encodes [answer] to the request [identifier], which is null if the request had no valid identifier. */
    fun encode(identifier: String?, answer: CallerAnswer): EncodedAnswer =
        when (answer) {
            is CallerAnswer.Completed -> encodeCompleted(identifier.orEmpty(), answer)
            is CallerAnswer.Refused -> encodeRefused(identifier, answer)
        }

    private fun encodeCompleted(identifier: String, answer: CallerAnswer.Completed): EncodedAnswer {
        val body =
            SuccessBody(
                requestId = identifier,
                ran = Outcome.RAN,
                session = signer.sign(answer.session),
                results = answer.results,
                server = answer.server,
                position = answer.position,
                transaction = answer.transaction,
                replayed = answer.replayed,
                ageMillis = answer.ageMillis,
            )
        return EncodedAnswer(STATUS_OK, json.encodeToString(SuccessBody.serializer(), body))
    }

    private fun encodeRefused(identifier: String?, answer: CallerAnswer.Refused): EncodedAnswer {
        val body =
            FailureBody(
                requestId = identifier,
                error = ErrorDetail(answer.kind.label, answer.message),
                ran = answer.kind.outcome,
                retry = answer.kind.advice,
                retryAfterMillis = answer.retryAfterMillis,
            )
        val text = json.encodeToString(FailureBody.serializer(), body)
        return EncodedAnswer(answer.kind.httpStatus, text, answer.retryAfterMillis)
    }

    private companion object {
        const val STATUS_OK = 200
        val json = Json
    }
}
