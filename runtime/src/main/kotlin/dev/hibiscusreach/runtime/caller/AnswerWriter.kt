package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.Outcome
import kotlinx.serialization.json.Json

/** An HTTP response to a caller. */
class WrittenAnswer(val status: Int, val body: String, val retryAfterMillis: Long? = null)

/** Turns answers into HTTP responses and signs their tokens. */
class AnswerWriter(private val signer: TokenSigner) {
    /** The response for [answer] to the request called [identifier]. */
    fun write(identifier: String?, answer: CallerAnswer): WrittenAnswer =
        when (answer) {
            is CallerAnswer.Completed -> completed(identifier.orEmpty(), answer)
            is CallerAnswer.Refused -> refused(identifier, answer)
        }

    private fun completed(identifier: String, answer: CallerAnswer.Completed): WrittenAnswer {
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
        return WrittenAnswer(STATUS_OK, json.encodeToString(SuccessBody.serializer(), body))
    }

    private fun refused(identifier: String?, answer: CallerAnswer.Refused): WrittenAnswer {
        val body =
            FailureBody(
                requestId = identifier,
                error = ErrorDetail(answer.kind.label, answer.message),
                ran = answer.kind.outcome,
                retry = answer.kind.advice,
                retryAfterMillis = answer.retryAfterMillis,
            )
        val text = json.encodeToString(FailureBody.serializer(), body)
        return WrittenAnswer(answer.kind.httpStatus, text, answer.retryAfterMillis)
    }

    private companion object {
        const val STATUS_OK = 200
        val json = Json
    }
}
