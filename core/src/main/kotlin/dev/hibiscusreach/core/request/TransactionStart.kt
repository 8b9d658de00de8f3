package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind

/** Registers the transaction that the server began for [request] and answers with its identifier. */
internal fun StepBuilder.completeBegin(
    request: PendingRequest,
    phase: RequestPhase.Sent,
    answer: SessionAnswer.Done
) {
    val unrouted = store(request.copy(phase = RequestPhase.Arrived))
    when {
        answer.status.term < group(request.database).term -> {
            returnConnection(phase.connection, ConnectionCondition.DOUBTFUL)
            retry(unrouted, "term", ErrorKind.NO_PRIMARY, "the primary was replaced")
        }

        // The caller never receives the identifier and so could not end the transaction.
        request.abandoned -> {
            returnConnection(phase.connection, ConnectionCondition.DOUBTFUL)
            reply(unrouted, refusal(ErrorKind.TRANSACTION_ENDED, "the caller is gone"))
        }

        else -> openTransaction(unrouted, phase)
    }
}

private fun StepBuilder.openTransaction(request: PendingRequest, phase: RequestPhase.Sent) {
    val identifier = TransactionIdentifier(settings.self, nextNumber(), context.random).toString()
    val transaction =
        OpenTransaction(
            identifier = identifier,
            caller = request.request.caller,
            database = request.database,
            connection = phase.connection,
            server = phase.server,
            term = phase.term,
            expiresAt = listOfNotNull(now + settings.request.transactionLifeLimit, slice.drainDeadline).min(),
            timerDue = now,
        )
    slice = slice.copy(pinnedConnections = slice.pinnedConnections.put(phase.connection, identifier))
    restartIdleTimer(transaction)
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
