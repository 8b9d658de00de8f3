package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind

/** Opens the transaction that the server began for [request]. */
internal fun Turn.began(request: PendingRequest, phase: RequestPhase.Sent, answer: SessionAnswer.Done) {
    val free = keep(request.copy(phase = RequestPhase.Arrived))
    when {
        answer.status.term < group(request.database).term -> {
            giveBack(phase.connection, ConnectionCondition.DOUBTFUL)
            tryAgain(free, "term", ErrorKind.NO_PRIMARY, "the primary was replaced")
        }

        // Nobody knows the identifier of the transaction, so that nobody could end it.
        request.abandoned -> {
            giveBack(phase.connection, ConnectionCondition.DOUBTFUL)
            reply(free, refusal(ErrorKind.TRANSACTION_ENDED, "the caller is gone"))
        }

        else -> open(free, phase)
    }
}

private fun Turn.open(request: PendingRequest, phase: RequestPhase.Sent) {
    val identifier = TransactionIdentifier(settings.self, nextNumber(), context.random).toString()
    val transaction =
        OpenTransaction(
            identifier = identifier,
            caller = request.request.caller,
            database = request.database,
            connection = phase.connection,
            server = phase.server,
            term = phase.term,
            endsAt = listOfNotNull(now + settings.request.transactionLifeLimit, slice.transactionsEndAt).min(),
            timerDue = now,
        )
    slice = slice.copy(pinned = slice.pinned.put(phase.connection, identifier))
    restartIdleTime(transaction)
    reply(
        request,
        CallerAnswer.Completed(
            results = emptyList(),
            session = request.request.session,
            server = phase.server,
            transaction = identifier,
        ),
    )
}
