package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RequestBody

/** The work that a checked [request] asks for. */
internal fun workOf(request: CallerRequest, index: ConfigurationIndex): Work =
    when (val body = request.body) {
        is RequestBody.Statements ->
            when (body.access) {
                Access.READ -> Work.Read(body.statements, maximumAge(request, body, index))
                Access.WRITE -> Work.Write(body.statements, key(request, body))
            }

        is RequestBody.BeginTransaction -> Work.Begin

        is RequestBody.TransactionStatements -> Work.Run(body.transaction, body.statements)

        is RequestBody.CommitTransaction ->
            Work.Commit(
                transaction = body.transaction,
                key = IdempotencyKey(request.identifier, Fingerprint.ofCommit(request.caller, body.transaction)),
            )

        is RequestBody.RollbackTransaction -> Work.Rollback(body.transaction)

        is RequestBody.ResolveOutcome -> Work.Resolve(body.requestIdentifier)
    }

private fun key(request: CallerRequest, body: RequestBody.Statements): IdempotencyKey? =
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
