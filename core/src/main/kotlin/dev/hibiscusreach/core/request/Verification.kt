package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position

/** The check that an answer still has to pass before it is delivered, or why it cannot pass. */
private enum class OutstandingCheck { TERM_CHANGED, DURABILITY, LEADERSHIP, TOO_OLD, NOTHING }

/** Delivers the answer in [phase] once a majority holds its position and its age is verified. */
internal fun StepBuilder.verify(request: PendingRequest, phase: RequestPhase.Verifying) {
    val due = minOf(request.deadline, now + settings.request.commandTimeout)
    when (outstandingCheck(request, phase)) {
        OutstandingCheck.TERM_CHANGED ->
            handleUnverifiedAnswer(store(request.copy(phase = RequestPhase.Arrived)), phase)

        OutstandingCheck.DURABILITY -> {
            enter(request, phase, due)
            signal(Signal.DurabilityRequested(phase.attempt, request.database, phase.answer.provingPosition(), due))
        }

        OutstandingCheck.LEADERSHIP -> {
            enter(request, phase, due)
            signal(
                Signal.LeadershipCheckRequested(
                    phase.attempt,
                    request.database,
                    leadershipRequiredSince(request, phase),
                    due,
                ),
            )
        }

        OutstandingCheck.TOO_OLD -> retryTooOldRead(store(request.copy(phase = RequestPhase.Arrived)), phase)

        OutstandingCheck.NOTHING -> deliver(store(request.copy(phase = RequestPhase.Arrived)), phase)
    }
}

private fun StepBuilder.outstandingCheck(request: PendingRequest, phase: RequestPhase.Verifying): OutstandingCheck {
    val group = group(request.database)
    return when {
        // A server of an earlier term may hold entries that are not part of the current term.
        phase.answer.status.term < group.term -> OutstandingCheck.TERM_CHANGED
        !phase.durable && !group.isDurable(phase.answer.position()) -> OutstandingCheck.DURABILITY
        isRecentEnough(request, phase) -> OutstandingCheck.NOTHING
        phase.server == group.primary -> OutstandingCheck.LEADERSHIP
        else -> OutstandingCheck.TOO_OLD
    }
}

private fun StepBuilder.isRecentEnough(request: PendingRequest, phase: RequestPhase.Verifying): Boolean {
    val operation = request.operation
    return when {
        operation is Operation.Read -> isLeadershipVerified(request, phase) || isWithinAge(request, operation, phase)

        // A read-only transaction writes no entry whose durability would prove that its server was still the primary.
        operation is Operation.Commit -> phase.durable || isLeadershipVerified(request, phase)

        phase.answer is SessionAnswer.Behind -> isLeadershipVerified(request, phase)

        else -> true
    }
}

private fun StepBuilder.isWithinAge(
    request: PendingRequest,
    read: Operation.Read,
    phase: RequestPhase.Verifying,
): Boolean {
    val age = group(request.database).ageOf(phase.answer.position(), now)
    return read.maximumAge.value > 0 && age != null && age <= read.maximumAge && phase.answer !is SessionAnswer.Behind
}

private fun StepBuilder.isLeadershipVerified(request: PendingRequest, phase: RequestPhase.Verifying): Boolean {
    val group = group(request.database)
    val verifiedAt = group.leadershipVerifiedAt
    val known = verifiedAt != null && verifiedAt >= leadershipRequiredSince(request, phase)
    return phase.server == group.primary && (phase.leadershipConfirmed || known)
}

// The primary's answer contains every write that was acknowledged before the returned time. No server can meet an
// accepted age that is shorter than the duration of the command; then the returned time is the start of the command.
private fun StepBuilder.leadershipRequiredSince(request: PendingRequest, phase: RequestPhase.Verifying): MonotonicTime {
    val operation = request.operation
    val accepted =
        if (operation is Operation.Read && phase.answer is SessionAnswer.Done) operation.maximumAge else Millis(0)
    return minOf(phase.sentAt, now - accepted)
}

/** The position that has to be durable before the answer is delivered; [Position.ORIGIN] if there is none. */
internal fun SessionAnswer.position(): Position =
    when (this) {
        is SessionAnswer.Done -> position

        is SessionAnswer.Cancelled -> position

        is SessionAnswer.Behind, is SessionAnswer.Conflict, is SessionAnswer.IdentifierReused,
        is SessionAnswer.NoTransaction, is SessionAnswer.Rejected, is SessionAnswer.Unavailable,
        is SessionAnswer.WrongTerm,
        -> Position.ORIGIN
    }

// The record of a repeated request may be an entry of an earlier term, and a proxy that first observed the primary
// after its first write does not know where the primary's term began. Durability of a later entry of that term implies
// durability of the record.
private fun SessionAnswer.provingPosition(): Position {
    val position = position()
    val isOlder = position.term < status.term && status.applied.term == status.term
    return if (isOlder && status.role == ServerRole.PRIMARY) status.applied else position
}

private fun StepBuilder.retryTooOldRead(request: PendingRequest, phase: RequestPhase.Verifying) {
    val avoiding = request.copy(avoidedServers = request.avoidedServers + phase.server, replicaWaitOver = true)
    retry(avoiding, "age", ErrorKind.READ_TOO_OLD, "the data of server '${phase.server}' is too old")
}
