package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.model.ErrorKind

/** Retries [request] with [next], or refuses it with [kind] if its attempts or the retry budget are used up. */
internal fun StepBuilder.retry(
    request: PendingRequest,
    reason: String,
    kind: ErrorKind,
    message: String,
    next: (PendingRequest) -> Unit = ::route,
) {
    val budget = (slice.retryBudgets[request.database] ?: RetryBudget.full(settings.request)).spent()
    // Resolving an outcome does not run the request again and is bounded by the deadline, so it costs no retry.
    when {
        request.operation is Operation.Resolve -> next(store(request))

        request.attempts >= settings.request.maximumAttempts ->
            refuse(request, kind, "$message; the attempts are used up")

        budget == null -> refuse(request, kind, "$message; the retry budget of the database is used up")

        else -> {
            slice = slice.copy(retryBudgets = slice.retryBudgets.put(request.database, budget))
            count(CounterName.RETRIES, reason)
            next(store(request))
        }
    }
}

/** Retries [request] or resolves its outcome after an answer was lost. The attempt may have taken effect. */
internal fun StepBuilder.handleLostAnswer(request: PendingRequest, operation: Operation, reason: String) {
    val message = "the answer was lost"
    when (operation) {
        is Operation.Read, is Operation.Begin ->
            retry(request.copy(replicaWaitOver = true), reason, ErrorKind.SERVER_UNREACHABLE, message)

        is Operation.Write ->
            if (operation.key == null) {
                retry(request.copy(mayHaveRun = true), reason, ErrorKind.OUTCOME_UNKNOWN, message)
            } else {
                resolveOutcome(request, Operation.Resolve(operation.key.identifier, recorded = operation))
            }

        is Operation.Commit -> resolveOutcome(request, Operation.Resolve(operation.key.identifier))

        is Operation.Resolve -> awaitPrimary(request, rejected = primaryView(request.database))

        is Operation.Run, is Operation.Rollback -> refuseDefinitively(request, ErrorKind.TRANSACTION_ENDED, message)
    }
}

/** Finds out at the primary whether [request] took effect. */
internal fun StepBuilder.resolveOutcome(request: PendingRequest, operation: Operation.Resolve) =
    route(store(request.copy(operation = operation, mayHaveRun = true, primaryWaitEnd = null)))
