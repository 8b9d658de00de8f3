package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind

/** Handles the answer to a command of an open transaction. */
internal fun StepBuilder.handleTransactionAnswer(
    request: PendingRequest,
    operation: Operation.InTransaction,
    phase: RequestPhase.Sent,
    answer: SessionAnswer,
) {
    val unrouted = store(request.copy(phase = RequestPhase.Arrived))
    val verifying = RequestPhase.Verifying(phase.attempt, phase.server, answer, phase.sentAt)
    if (operation is Operation.Run && answer is SessionAnswer.Done) {
        verify(unrouted, verifying)
    } else {
        endTransaction(operation.transaction, connectionConditionAfter(answer))
        replyAfterTransactionEnd(unrouted, operation, verifying)
    }
}

/** The condition of a transaction's connection after [answer]. */
private fun connectionConditionAfter(answer: SessionAnswer): ConnectionCondition =
    when (answer) {
        is SessionAnswer.Done, is SessionAnswer.Rejected, is SessionAnswer.Conflict, is SessionAnswer.NoTransaction ->
            ConnectionCondition.CLEAN

        is SessionAnswer.Behind, is SessionAnswer.Cancelled, is SessionAnswer.IdentifierReused,
        is SessionAnswer.Unavailable, is SessionAnswer.WrongTerm,
        -> ConnectionCondition.DOUBTFUL
    }

// Every refusal here is definitive: the server answered that it did not commit, and a commit is sent only once.
private fun StepBuilder.replyAfterTransactionEnd(
    request: PendingRequest,
    operation: Operation.InTransaction,
    phase: RequestPhase.Verifying,
) {
    when (val answer = phase.answer) {
        is SessionAnswer.Done -> if (operation is Operation.Commit) verify(request, phase) else replyRolledBack(request)

        is SessionAnswer.Cancelled -> verify(request, phase)

        is SessionAnswer.Rejected -> refuseDefinitively(request, ErrorKind.STATEMENT_REJECTED, answer.message)

        is SessionAnswer.Conflict ->
            refuseDefinitively(request, ErrorKind.CONFLICT, "the transaction conflicted with another one and has ended")

        is SessionAnswer.IdentifierReused ->
            refuseDefinitively(request, ErrorKind.REQUEST_IDENTIFIER_REUSED, IDENTIFIER_REUSED)

        is SessionAnswer.Behind, is SessionAnswer.NoTransaction, is SessionAnswer.Unavailable,
        is SessionAnswer.WrongTerm,
        -> refuseDefinitively(request, ErrorKind.TRANSACTION_ENDED, "the server ended the transaction")
    }
}

private fun StepBuilder.replyRolledBack(request: PendingRequest) =
    reply(request, CallerAnswer.Completed(results = emptyList(), session = request.request.session))
