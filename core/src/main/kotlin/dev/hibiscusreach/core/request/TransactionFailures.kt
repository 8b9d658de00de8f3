package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Term

/** Handles the timer of a transaction, which ends the transaction if it is idle or its lifetime is over. */
internal fun StepBuilder.onTransactionTimeout(identifier: String) {
    val transaction = slice.transactions[identifier] ?: return
    when {
        now < transaction.timerDue -> startTransactionTimer(transaction)

        transaction.activeRequest != null && now < transaction.expiresAt ->
            startTransactionTimer(transaction.copy(timerDue = transaction.expiresAt))

        else -> interruptTransaction(transaction, "the transaction exceeded its idle time limit or its lifetime limit")
    }
}

/**
 * Ends [transaction] unless its commit or rollback is in flight, which ends it within one command timeout. Nothing is
 * committed, because no commit was sent.
 */
internal fun StepBuilder.interruptTransaction(transaction: OpenTransaction, message: String) {
    val request = transaction.activeRequest?.let { slice.pending[it] }
    if (request == null || request.operation is Operation.Run) {
        endTransaction(transaction.identifier, ConnectionCondition.DOUBTFUL)
        request?.let { refuseDefinitively(it, ErrorKind.TRANSACTION_ENDED, message) }
    }
}

/** Ends [transaction] because its connection is lost or doubtful. The outcome of a commit in flight is resolved. */
internal fun StepBuilder.abortTransaction(transaction: OpenTransaction, condition: ConnectionCondition?) {
    endTransaction(transaction.identifier, condition)
    transaction.activeRequest?.let { slice.pending[it] }?.let { request ->
        handleLostAnswer(store(request.copy(phase = RequestPhase.Arrived)), request.operation, "transaction")
    }
}

/** Ends the open transactions of [database] that began before [term], whose server can no longer commit. */
internal fun StepBuilder.endTransactionsBefore(database: DatabaseName, term: Term) =
    slice.transactions.values
        .filter { it.database == database && it.term < term }
        .forEach { abortTransaction(it, ConnectionCondition.DOUBTFUL) }
