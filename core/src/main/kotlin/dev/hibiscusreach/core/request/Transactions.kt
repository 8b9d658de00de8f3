package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.ErrorKind

/** Routes [request] to the node that holds its transaction. */
internal fun StepBuilder.routeToOwner(request: PendingRequest, operation: Operation.InTransaction) {
    val identifier = TransactionIdentifier.parse(operation.transaction)
    when {
        identifier == null -> refuse(request, ErrorKind.TRANSACTION_UNKNOWN, "the transaction identifier is not valid")

        identifier.owner == settings.self -> continueTransaction(request, operation, identifier)

        fleet.isLive(identifier.owner) && isForwardAllowed(request, identifier.owner) ->
            forward(request, identifier.owner)

        else -> handleLostOwner(request, operation)
    }
}

/** Handles [request] when no reachable proxy holds its transaction. */
internal fun StepBuilder.handleLostOwner(request: PendingRequest, operation: Operation.InTransaction) =
    when (operation) {
        // A commit with the same identifier may have been sent before; its idempotency record contains the outcome.
        is Operation.Commit -> resolveOutcome(request, Operation.Resolve(operation.key.identifier))

        is Operation.Run, is Operation.Rollback ->
            refuse(request, ErrorKind.TRANSACTION_ENDED, "the transaction has ended")
    }

private fun StepBuilder.continueTransaction(
    request: PendingRequest,
    operation: Operation.InTransaction,
    identifier: TransactionIdentifier,
) {
    val transaction = slice.transactions[operation.transaction]
    val belongsToCaller = transaction?.caller == request.request.caller && transaction.database == request.database
    when {
        transaction == null && identifier.number <= slice.lastNumber -> handleLostOwner(request, operation)

        transaction == null || !belongsToCaller ->
            refuse(request, ErrorKind.TRANSACTION_UNKNOWN, "the caller has no such transaction")

        transaction.activeRequest != null -> refuseWhileBusy(request, operation)

        group(request.database).term > transaction.term -> {
            endTransaction(operation.transaction, ConnectionCondition.DOUBTFUL)
            refuse(request, ErrorKind.TRANSACTION_ENDED, "the primary was replaced; nothing was committed")
        }

        else -> sendInTransaction(request, transaction)
    }
}

private fun StepBuilder.refuseWhileBusy(request: PendingRequest, operation: Operation.InTransaction) =
    if (operation is Operation.Commit) {
        // The request in progress may be the same commit, which the caller sent twice.
        refuseDefinitively(request, ErrorKind.OUTCOME_UNKNOWN, "another request of the transaction is in progress")
    } else {
        refuse(request, ErrorKind.CONFLICT, "another request of the transaction is in progress")
    }

private fun StepBuilder.sendInTransaction(request: PendingRequest, transaction: OpenTransaction) {
    storeTransaction(transaction.copy(activeRequest = request.arrival))
    sendCommand(
        request,
        nextAttempt(),
        transaction.server,
        transaction.connection,
        commandInTransaction(request, transaction),
    )
}

/** Marks the transaction as idle, so that it accepts the next request. */
internal fun StepBuilder.releaseTransaction(identifier: String) {
    slice.transactions[identifier]?.let { restartIdleTimer(it.copy(activeRequest = null)) }
}

/** Stores [transaction] and starts its idle timer. */
internal fun StepBuilder.restartIdleTimer(transaction: OpenTransaction) =
    startTransactionTimer(
        transaction.copy(timerDue = minOf(now + settings.request.transactionIdleLimit, transaction.expiresAt)),
    )

/** Stores [transaction] and starts a timer for [OpenTransaction.timerDue]. */
internal fun StepBuilder.startTransactionTimer(transaction: OpenTransaction) {
    storeTransaction(transaction)
    startTimer(TimerKey.TransactionTimeout(transaction.identifier), transaction.timerDue)
}

private fun StepBuilder.storeTransaction(transaction: OpenTransaction) {
    slice = slice.copy(transactions = slice.transactions.put(transaction.identifier, transaction))
}

/** Removes a transaction. Returns its connection in [condition], or not at all for null: the connection is lost. */
internal fun StepBuilder.endTransaction(identifier: String, condition: ConnectionCondition?) {
    val transaction = slice.transactions[identifier] ?: return
    slice =
        slice.copy(
            transactions = slice.transactions.remove(identifier),
            pinnedConnections = slice.pinnedConnections.remove(transaction.connection),
        )
    emit(Effect.CancelTimer(TimerKey.TransactionTimeout(identifier)))
    if (condition != null) returnConnection(transaction.connection, condition)
    finishDrainIfIdle()
}
