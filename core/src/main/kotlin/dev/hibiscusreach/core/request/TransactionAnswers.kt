package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind

/** Handles the answer to a command of an open transaction. */
internal fun Turn.answeredInTransaction(
    request: PendingRequest,
    work: Work.InTransaction,
    phase: RequestPhase.Sent,
    answer: SessionAnswer,
) {
    val free = keep(request.copy(phase = RequestPhase.Arrived))
    val verifying = RequestPhase.Verifying(phase.attempt, phase.server, answer, phase.sentAt)
    if (work is Work.Run && answer is SessionAnswer.Done) {
        verify(free, verifying)
    } else {
        endTransaction(work.transaction, conditionAfter(answer))
        conclude(free, work, verifying)
    }
}

/** The state in which [answer] leaves the connection of a transaction. */
private fun conditionAfter(answer: SessionAnswer): ConnectionCondition =
    when (answer) {
        is SessionAnswer.Done, is SessionAnswer.Rejected, is SessionAnswer.Conflict, is SessionAnswer.NoTransaction ->
            ConnectionCondition.CLEAN

        is SessionAnswer.Behind, is SessionAnswer.Cancelled, is SessionAnswer.IdentifierReused,
        is SessionAnswer.Unavailable, is SessionAnswer.WrongTerm,
        -> ConnectionCondition.DOUBTFUL
    }

// Every refusal here is certain: the server answered that it did not commit, and a commit is sent only once.
private fun Turn.conclude(request: PendingRequest, work: Work.InTransaction, phase: RequestPhase.Verifying) {
    when (val answer = phase.answer) {
        is SessionAnswer.Done -> if (work is Work.Commit) verify(request, phase) else rolledBack(request)

        is SessionAnswer.Cancelled -> verify(request, phase)

        is SessionAnswer.Rejected -> refuseAsSettled(request, ErrorKind.STATEMENT_REJECTED, answer.message)

        is SessionAnswer.Conflict ->
            refuseAsSettled(request, ErrorKind.CONFLICT, "the transaction conflicted with another one and has ended")

        is SessionAnswer.IdentifierReused -> refuseAsSettled(request, ErrorKind.REQUEST_IDENTIFIER_REUSED, REUSED)

        is SessionAnswer.Behind, is SessionAnswer.NoTransaction, is SessionAnswer.Unavailable,
        is SessionAnswer.WrongTerm,
        -> refuseAsSettled(request, ErrorKind.TRANSACTION_ENDED, "the server ended the transaction")
    }
}

private fun Turn.rolledBack(request: PendingRequest) =
    reply(request, CallerAnswer.Completed(results = emptyList(), session = request.request.session))
