package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.ErrorKind

/** Matches an answer to its attempt and connection; any other answer is discarded. */
internal fun Turn.answered(event: Event.SessionAnswered) {
    val request = slice.index.attempts[event.attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    when {
        event.attempt.owner != PartName.REQUESTS -> Unit
        phase !is RequestPhase.Sent -> count(CounterName.DISCARDED_ANSWERS, "attempt")
        phase.connection != event.connection -> count(CounterName.DISCARDED_ANSWERS, "connection")
        phase.server != event.answer.status.server -> count(CounterName.DISCARDED_ANSWERS, "server")
        else -> accept(request, phase, event.answer)
    }
}

private fun Turn.accept(request: PendingRequest, phase: RequestPhase.Sent, answer: SessionAnswer) {
    signal(Signal.ServerObserved(answer.status, phase.sentAt))
    val work = request.work
    when {
        work is Work.InTransaction -> answeredInTransaction(request, work, phase, answer)

        work is Work.Begin && answer is SessionAnswer.Done -> began(request, phase, answer)

        else -> {
            giveBack(phase.connection, ConnectionCondition.CLEAN)
            settle(request, phase, answer)
        }
    }
}

private fun Turn.settle(request: PendingRequest, phase: RequestPhase.Sent, answer: SessionAnswer) {
    val free = keep(request.copy(phase = RequestPhase.Arrived))
    when (answer) {
        is SessionAnswer.Done, is SessionAnswer.Cancelled ->
            verify(free, RequestPhase.Verifying(phase.attempt, phase.server, answer, phase.sentAt))

        is SessionAnswer.Behind -> behind(free, phase, answer)

        is SessionAnswer.Rejected -> refuse(free, ErrorKind.STATEMENT_REJECTED, answer.message)

        is SessionAnswer.IdentifierReused -> refuseAsSettled(free, ErrorKind.REQUEST_IDENTIFIER_REUSED, REUSED)

        is SessionAnswer.Conflict ->
            tryAgain(free, "conflict", ErrorKind.CONFLICT, "the transaction conflicted with another one")

        is SessionAnswer.WrongTerm -> notAccepted(free, phase, "term")

        is SessionAnswer.Unavailable, is SessionAnswer.NoTransaction -> notAccepted(free, phase, "unavailable")
    }
}

internal const val REUSED = "the request identifier was used for another request"

// Only the primary has every position that can be in a token, so that only its answer can show a token to be wrong.
private fun Turn.behind(request: PendingRequest, phase: RequestPhase.Sent, answer: SessionAnswer) {
    if (phase.server == group(request.database).primary) {
        verify(request, RequestPhase.Verifying(phase.attempt, phase.server, answer, phase.sentAt))
    } else {
        notAccepted(request, phase, "behind")
    }
}

/** Goes on after the server of [phase] did not accept the command; nothing ran. */
private fun Turn.notAccepted(request: PendingRequest, phase: RequestPhase.Sent, reason: String) {
    val avoiding = request.copy(avoidedServers = request.avoidedServers + phase.server, replicaWaitOver = true)
    val rejected = PrimaryView(phase.term, phase.server)
    val atPrimary = request.work !is Work.Read || phase.server == group(request.database).primary
    tryAgain(avoiding, reason, ErrorKind.NO_PRIMARY, "server '${phase.server}' did not accept the request") {
        if (atPrimary) awaitPrimary(it, rejected, retriesSame = reason != "term") else route(it)
    }
}
