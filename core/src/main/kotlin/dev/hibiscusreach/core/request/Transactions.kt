package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.ErrorKind

/** Sends [request] to the node that holds its transaction. */
internal fun Turn.routeToOwner(request: PendingRequest, work: Work.InTransaction) {
    val identifier = TransactionIdentifier.parse(work.transaction)
    when {
        identifier == null -> refuse(request, ErrorKind.TRANSACTION_UNKNOWN, "the transaction identifier is not valid")
        identifier.owner == settings.self -> useTransaction(request, work, identifier)
        fleet.isLive(identifier.owner) && mayForward(request, identifier.owner) -> forward(request, identifier.owner)
        else -> ownerLost(request, work)
    }
}

/** Goes on when no proxy holds the transaction of [request] any more. */
internal fun Turn.ownerLost(request: PendingRequest, work: Work.InTransaction) =
    when (work) {
        // An earlier commit under the same identifier may have been sent; its record tells.
        is Work.Commit -> resolve(request, Work.Resolve(work.key.identifier))

        is Work.Run, is Work.Rollback -> refuse(request, ErrorKind.TRANSACTION_ENDED, "the transaction has ended")
    }

private fun Turn.useTransaction(
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
            ownerLost(request, work)
        }

        else -> use(request, transaction)
    }
}

private fun Turn.refuseWhileBusy(request: PendingRequest, work: Work.InTransaction) =
    if (work is Work.Commit) {
        // The request in progress can be the same commit, sent a second time.
        refuseAsSettled(request, ErrorKind.OUTCOME_UNKNOWN, "another request of the transaction is in progress")
    } else {
        refuse(request, ErrorKind.CONFLICT, "another request of the transaction is in progress")
    }

private fun Turn.use(request: PendingRequest, transaction: OpenTransaction) {
    keepTransaction(transaction.copy(busy = request.arrival))
    send(
        request,
        nextAttempt(),
        transaction.server,
        transaction.connection,
        commandInTransaction(request, transaction),
    )
}

/** Lets the next request use the transaction. */
internal fun Turn.release(identifier: String) {
    slice.transactions[identifier]?.let { restartIdleTime(it.copy(busy = null)) }
}

/** Keeps [transaction] and starts its idle time. */
internal fun Turn.restartIdleTime(transaction: OpenTransaction) =
    startTransactionTimer(
        transaction.copy(timerDue = minOf(now + settings.request.transactionIdleLimit, transaction.endsAt)),
    )

/** Keeps [transaction] and starts its timer. */
internal fun Turn.startTransactionTimer(transaction: OpenTransaction) {
    keepTransaction(transaction)
    startTimer(TimerKey.TransactionTimeout(transaction.identifier), transaction.timerDue)
}

private fun Turn.keepTransaction(transaction: OpenTransaction) {
    slice = slice.copy(transactions = slice.transactions.put(transaction.identifier, transaction))
}

/** Forgets a transaction; its connection goes back in [condition], or not at all if it is lost. */
internal fun Turn.endTransaction(identifier: String, condition: ConnectionCondition?) {
    val transaction = slice.transactions[identifier] ?: return
    slice =
        slice.copy(
            transactions = slice.transactions.remove(identifier),
            pinned = slice.pinned.remove(transaction.connection),
        )
    emit(Effect.CancelTimer(TimerKey.TransactionTimeout(identifier)))
    if (condition != null) giveBack(transaction.connection, condition)
    finishDrainIfIdle()
}
