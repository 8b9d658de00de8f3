package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Term

/** Handles the end of a transaction's idle time or life. */
internal fun Turn.transactionTimeout(identifier: String) {
    val transaction = slice.transactions[identifier] ?: return
    when {
        now < transaction.timerDue -> startTransactionTimer(transaction)

        transaction.busy != null && now < transaction.endsAt ->
            startTransactionTimer(transaction.copy(timerDue = transaction.endsAt))

        else -> interrupt(transaction, "the transaction exceeded its idle time or its life")
    }
}

/**
 * Ends [transaction] unless its commit or rollback is on the way, which ends it within the time of one command. Nothing
 * was committed, because the commit was not sent.
 */
internal fun Turn.interrupt(transaction: OpenTransaction, message: String) {
    val request = transaction.busy?.let { slice.pending[it] }
    if (request == null || request.work is Work.Run) {
        endTransaction(transaction.identifier, ConnectionCondition.DOUBTFUL)
        request?.let { refuseAsSettled(it, ErrorKind.TRANSACTION_ENDED, message) }
    }
}

/** Ends [transaction] because its connection is lost or in doubt; a commit on the way is resolved. */
internal fun Turn.loseTransaction(transaction: OpenTransaction, condition: ConnectionCondition?) {
    endTransaction(transaction.identifier, condition)
    transaction.busy?.let { slice.pending[it] }?.let { request ->
        attemptLost(keep(request.copy(phase = RequestPhase.Arrived)), request.work, "transaction")
    }
}

/** Ends the open transactions of [database] that began before [term]: their server cannot commit any more. */
internal fun Turn.endTransactionsBefore(database: DatabaseName, term: Term) =
    slice.transactions.values
        .filter { it.database == database && it.term < term }
        .forEach { loseTransaction(it, ConnectionCondition.DOUBTFUL) }
