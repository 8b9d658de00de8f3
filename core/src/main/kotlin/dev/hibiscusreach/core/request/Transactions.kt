package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.ErrorKind

/** Sends [request] to the node that holds its transaction. */
internal fun StepBuilder.routeToOwner(request: PendingRequest, work: Work.InTransaction) {
    val identifier = TransactionIdentifier.parse(work.transaction)
    when {
        identifier == null -> refuse(request, ErrorKind.TRANSACTION_UNKNOWN, "the transaction identifier is not valid")
        identifier.owner == settings.self -> useTransaction(request, work, identifier)
        fleet.isLive(identifier.owner) && mayForward(request, identifier.owner) -> forward(request, identifier.owner)
        else -> ownerLost(request, work)
    }
}

/** Answers [request] when no proxy holds its transaction any more. */
internal fun StepBuilder.ownerLost(request: PendingRequest, work: Work.InTransaction) =
    when (work) {
        // An earlier commit under the same identifier may have been sent; its record tells.
        is Work.Commit -> resolve(request, Work.Resolve(work.key.identifier))

        is Work.Run, is Work.Rollback -> refuse(request, ErrorKind.TRANSACTION_ENDED, "the transaction has ended")
    }

private fun StepBuilder.useTransaction(
    request: PendingRequest,
    work: Work.InTransaction,
    identifier: TransactionIdentifier,
) {
    val transaction = slice.transactions[work.transaction]
    val isOwn = transaction?.caller == request.request.caller && transaction.database == request.database
    when {
        transaction == null && identifier.number <= slice.lastNumber -> ownerLost(request, work)

        transaction == null || !isOwn ->
            refuse(request, ErrorKind.TRANSACTION_UNKNOWN, "the caller has no such transaction")

        transaction.busy != null -> refuseWhileBusy(request, work)

        group(request.database).term > transaction.term -> {
            endTransaction(work.transaction, ConnectionCondition.DOUBTFUL)
            refuse(request, ErrorKind.TRANSACTION_ENDED, "the primary was replaced; nothing was committed")
        }

        else -> use(request, transaction)
    }
}

private fun StepBuilder.refuseWhileBusy(request: PendingRequest, work: Work.InTransaction) =
    if (work is Work.Commit) {
        // The request in progress can be the same commit, sent a second time.
        refuseAsSettled(request, ErrorKind.OUTCOME_UNKNOWN, "another request of the transaction is in progress")
    } else {
        refuse(request, ErrorKind.CONFLICT, "another request of the transaction is in progress")
    }

private fun StepBuilder.use(request: PendingRequest, transaction: OpenTransaction) {
    storeTransaction(transaction.copy(busy = request.arrival))
    send(
        request,
        nextAttempt(),
        transaction.server,
        transaction.connection,
        commandInTransaction(request, transaction),
    )
}

/** Releases the transaction for the next request. */
internal fun StepBuilder.release(identifier: String) {
    slice.transactions[identifier]?.let { restartIdleTime(it.copy(busy = null)) }
}

/** Stores [transaction] and starts its idle time. */
internal fun StepBuilder.restartIdleTime(transaction: OpenTransaction) =
    startTransactionTimer(
        transaction.copy(timerDue = minOf(now + settings.request.transactionIdleLimit, transaction.endsAt)),
    )

/** Stores [transaction] and starts its timer. */
internal fun StepBuilder.startTransactionTimer(transaction: OpenTransaction) {
    storeTransaction(transaction)
    startTimer(TimerKey.TransactionTimeout(transaction.identifier), transaction.timerDue)
}

private fun StepBuilder.storeTransaction(transaction: OpenTransaction) {
    slice = slice.copy(transactions = slice.transactions.put(transaction.identifier, transaction))
}

/** Removes a transaction. Its connection is returned in [condition], or not at all if the connection is lost. */
internal fun StepBuilder.endTransaction(identifier: String, condition: ConnectionCondition?) {
    val transaction = slice.transactions[identifier] ?: return
    slice =
        slice.copy(
            transactions = slice.transactions.remove(identifier),
            pinned = slice.pinned.remove(transaction.connection),
        )
    emit(Effect.CancelTimer(TimerKey.TransactionTimeout(identifier)))
    if (condition != null) returnConnection(transaction.connection, condition)
    finishDrainIfIdle()
}
