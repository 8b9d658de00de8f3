package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RequestBody

/** Returns the operation that a valid [request] asks for. */
internal fun operationOf(request: CallerRequest, index: ConfigurationIndex): Operation =
    when (val body = request.body) {
        is RequestBody.Statements ->
            when (body.access) {
                Access.READ -> Operation.Read(body.statements, maximumAge(request, body, index))
                Access.WRITE -> Operation.Write(body.statements, idempotencyKey(request, body))
            }

        is RequestBody.BeginTransaction -> Operation.Begin

        is RequestBody.TransactionStatements -> Operation.Run(body.transaction, body.statements)

        is RequestBody.CommitTransaction ->
            Operation.Commit(
                transaction = body.transaction,
                key = IdempotencyKey(request.identifier, Fingerprint.ofCommit(request.caller, body.transaction)),
            )

        is RequestBody.RollbackTransaction -> Operation.Rollback(body.transaction)

        is RequestBody.ResolveOutcome -> Operation.Resolve(body.requestIdentifier)
    }

private fun idempotencyKey(request: CallerRequest, body: RequestBody.Statements): IdempotencyKey? =
    if (body.repeatable) {
        null
    } else {
        IdempotencyKey(request.identifier, Fingerprint.ofStatements(request.caller, body.statements))
    }

private fun maximumAge(
    request: CallerRequest,
    body: RequestBody.Statements,
    index: ConfigurationIndex,
): Millis {
    val accepted = index.rule(request.caller).maximumReadAge(request.database)
    val asked = body.maximumAgeMillis?.let { Millis(maxOf(it, 0)) } ?: accepted
    return minOf(accepted, asked)
}
