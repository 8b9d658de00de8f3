package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.ErrorKind

/** Matches an answer to its attempt, connection and server; discards and counts an answer that does not match. */
internal fun StepBuilder.onSessionAnswered(event: Event.SessionAnswered) {
    val request = slice.phaseIndex.byAttempt[event.attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    when {
        event.attempt.owner != PartName.REQUESTS -> Unit
        phase !is RequestPhase.Sent -> count(CounterName.DISCARDED_ANSWERS, "attempt")
        phase.connection != event.connection -> count(CounterName.DISCARDED_ANSWERS, "connection")
        phase.server != event.answer.status.server -> count(CounterName.DISCARDED_ANSWERS, "server")
        else -> handleMatchedAnswer(request, phase, event.answer)
    }
}

private fun StepBuilder.handleMatchedAnswer(request: PendingRequest, phase: RequestPhase.Sent, answer: SessionAnswer) {
    signal(Signal.ServerObserved(answer.status, phase.sentAt))
    val operation = request.operation
    when {
        operation is Operation.InTransaction -> handleTransactionAnswer(request, operation, phase, answer)

        operation is Operation.Begin && answer is SessionAnswer.Done -> completeBegin(request, phase, answer)

        else -> {
            returnConnection(phase.connection, ConnectionCondition.CLEAN)
            handleAnswer(request, phase, answer)
        }
    }
}

private fun StepBuilder.handleAnswer(request: PendingRequest, phase: RequestPhase.Sent, answer: SessionAnswer) {
    val unrouted = store(request.copy(phase = RequestPhase.Arrived))
    when (answer) {
        is SessionAnswer.Done, is SessionAnswer.Cancelled ->
            verify(unrouted, RequestPhase.Verifying(phase.attempt, phase.server, answer, phase.sentAt))

        is SessionAnswer.Behind -> handleBehind(unrouted, phase, answer)

        is SessionAnswer.Rejected -> refuse(unrouted, ErrorKind.STATEMENT_REJECTED, answer.message)

        is SessionAnswer.IdentifierReused ->
            refuseDefinitively(unrouted, ErrorKind.REQUEST_IDENTIFIER_REUSED, IDENTIFIER_REUSED)

        is SessionAnswer.Conflict ->
            retry(unrouted, "conflict", ErrorKind.CONFLICT, "the transaction conflicted with another one") {
                if (it.operation is Operation.Resolve) awaitPrimary(it, primaryView(it.database)) else route(it)
            }

        is SessionAnswer.WrongTerm -> handleUnacceptedCommand(unrouted, phase, "term")

        is SessionAnswer.Unavailable, is SessionAnswer.NoTransaction ->
            handleUnacceptedCommand(unrouted, phase, "unavailable")
    }
}

/** Message of a refusal with [ErrorKind.REQUEST_IDENTIFIER_REUSED]. */
internal const val IDENTIFIER_REUSED = "the request identifier was used for another request"

// Only the primary holds every position that a token can contain, so that only its answer can prove a token invalid.
private fun StepBuilder.handleBehind(request: PendingRequest, phase: RequestPhase.Sent, answer: SessionAnswer) {
    if (phase.server == group(request.database).primary) {
        verify(request, RequestPhase.Verifying(phase.attempt, phase.server, answer, phase.sentAt))
    } else {
        handleUnacceptedCommand(request, phase, "behind")
    }
}

/** Retries after the server of [phase] did not accept the command, which therefore did not run. */
private fun StepBuilder.handleUnacceptedCommand(request: PendingRequest, phase: RequestPhase.Sent, reason: String) {
    val avoiding = request.copy(avoidedServers = request.avoidedServers + phase.server, replicaWaitOver = true)
    val rejected = PrimaryView(phase.term, phase.server)
    val atPrimary = request.operation !is Operation.Read || phase.server == group(request.database).primary
    retry(avoiding, reason, ErrorKind.NO_PRIMARY, "server '${phase.server}' did not accept the request") {
        if (atPrimary) awaitPrimary(it, rejected, retriesSamePrimary = reason != "term") else route(it)
    }
}
