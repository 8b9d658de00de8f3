package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.model.ErrorKind

/** Tries [request] again with [next], or refuses it with [kind] if its attempts or the retry budget are used up. */
internal fun Turn.tryAgain(
    request: PendingRequest,
    reason: String,
    kind: ErrorKind,
    message: String,
    next: (PendingRequest) -> Unit = ::route,
) {
    val budget = (slice.budgets[request.database] ?: RetryBudget.full(settings.request)).spent()
    // Finding out an outcome is no repetition of the request, and its deadline bounds it.
    when {
        request.work is Work.Resolve -> next(keep(request))

        request.attempts >= settings.request.maximumAttempts ->
            refuse(request, kind, "$message; the attempts are used up")

        budget == null -> refuse(request, kind, "$message; the retry budget of the database is used up")

        else -> {
            slice = slice.copy(budgets = slice.budgets.put(request.database, budget))
            count(CounterName.RETRIES, reason)
            next(keep(request))
        }
    }
}

/** Goes on after the answer to an attempt at [work] was lost: the attempt may have taken effect. */
internal fun Turn.attemptLost(request: PendingRequest, work: Work, reason: String) {
    val message = "the answer was lost"
    when (work) {
        is Work.Read, is Work.Begin ->
            tryAgain(request.copy(replicaWaitOver = true), reason, ErrorKind.SERVER_UNREACHABLE, message)

        is Work.Write ->
            if (work.key == null) {
                tryAgain(request.copy(mayHaveRun = true), reason, ErrorKind.OUTCOME_UNKNOWN, message)
            } else {
                resolve(request, Work.Resolve(work.key.identifier, recorded = work))
            }

        is Work.Commit -> resolve(request, Work.Resolve(work.key.identifier))

        is Work.Resolve -> awaitPrimary(request, rejected = primaryView(request.database))

        is Work.Run, is Work.Rollback -> refuseAsSettled(request, ErrorKind.TRANSACTION_ENDED, message)
    }
}

/** Finds out whether [request] ran. */
internal fun Turn.resolve(request: PendingRequest, work: Work.Resolve) =
    route(keep(request.copy(work = work, mayHaveRun = true, primaryWaitEnd = null)))
