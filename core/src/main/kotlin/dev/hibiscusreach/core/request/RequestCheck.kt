package dev.hibiscusreach.core.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.reducer.RequestSettings

/** Validates a request against the configuration and the limits before it is routed. */
internal class RequestCheck(
    private val index: ConfigurationIndex,
    private val settings: RequestSettings,
    private val wallClockMillis: Long,
) {
    /** Returns the operation that [request] asks for, or the refusal if the request is invalid. */
    fun operationOf(request: CallerRequest): Result<Operation, CallerAnswer.Refused> {
        val refusal = refusalOf(request)
        return if (refusal == null) Ok(operationOf(request, index)) else Err(refusal)
    }

    private fun refusalOf(request: CallerRequest): CallerAnswer.Refused? {
        val foreign = request.session.positions.keys.find { index.group(it) == null }
        return when {
            !index.hasCaller(request.caller) ->
                refused(ErrorKind.UNKNOWN_CALLER, "the inventory has no caller '${request.caller}'")

            index.group(request.database) == null ->
                refused(ErrorKind.UNKNOWN_DATABASE, "the inventory has no database '${request.database}'")

            foreign != null ->
                refused(ErrorKind.FOREIGN_TOKEN, "the session token names the unknown database '$foreign'")

            else -> refusalOf(request.body)
        }
    }

    private fun refusalOf(body: RequestBody): CallerAnswer.Refused? =
        when (body) {
            is RequestBody.Statements -> refusalOf(body)

            is RequestBody.TransactionStatements -> refusalOfStatements(body.statements)

            is RequestBody.CommitTransaction -> refusalOfAge(body.createdAtMillis)

            is RequestBody.BeginTransaction, is RequestBody.RollbackTransaction, is RequestBody.ResolveOutcome -> null
        }

    private fun refusalOf(body: RequestBody.Statements): CallerAnswer.Refused? {
        val createdAt = body.createdAtMillis
        return refusalOfStatements(body.statements) ?: when {
            body.access == Access.READ || body.repeatable -> null
            createdAt == null -> malformed("a write that is not repeatable needs its creation time")
            else -> refusalOfAge(createdAt)
        }
    }

    private fun refusalOfStatements(statements: List<Statement>): CallerAnswer.Refused? =
        if (statements.isEmpty()) malformed("the request has no statements") else null

    private fun refusalOfAge(createdAtMillis: Long): CallerAnswer.Refused? {
        val age = wallClockMillis - createdAtMillis
        return when {
            age > settings.requestRetention.value ->
                refused(
                    ErrorKind.REQUEST_TOO_OLD,
                    "the request was created $age ms ago, the limit is ${settings.requestRetention.value} ms",
                )

            // With a creation time in the future, the request would be accepted after its idempotency record is gone.
            age < -settings.clockTolerance.value -> malformed("the creation time is ${-age} ms in the future")

            else -> null
        }
    }

    private fun malformed(message: String) = refused(ErrorKind.MALFORMED_REQUEST, message)

    private fun refused(kind: ErrorKind, message: String) = CallerAnswer.Refused(kind, message)
}
