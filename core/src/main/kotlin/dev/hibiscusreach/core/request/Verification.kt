package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position

/** What still has to be known before an answer may be delivered. */
private enum class Outstanding { TERM_CHANGED, DURABILITY, LEADERSHIP, TOO_OLD, NOTHING }

/** Delivers the answer in [phase] once a majority holds its position and its age is proved. */
internal fun StepBuilder.verify(request: PendingRequest, phase: RequestPhase.Verifying) {
    val due = minOf(request.deadline, now + settings.request.commandTimeout)
    when (outstanding(request, phase)) {
        Outstanding.TERM_CHANGED -> verificationFailed(store(request.copy(phase = RequestPhase.Arrived)), phase)

        Outstanding.DURABILITY -> {
            enter(request, phase, due)
            signal(Signal.DurabilityRequested(phase.attempt, request.database, phase.answer.provingPosition(), due))
        }

        Outstanding.LEADERSHIP -> {
            enter(request, phase, due)
            signal(
                Signal.LeadershipCheckRequested(phase.attempt, request.database, leadershipFloor(request, phase), due),
            )
        }

        Outstanding.TOO_OLD -> tooOld(store(request.copy(phase = RequestPhase.Arrived)), phase)

        Outstanding.NOTHING -> deliver(store(request.copy(phase = RequestPhase.Arrived)), phase)
    }
}

private fun StepBuilder.outstanding(request: PendingRequest, phase: RequestPhase.Verifying): Outstanding {
    val group = group(request.database)
    return when {
        // A server of an earlier term may hold entries that the current term does not have.
        phase.answer.status.term < group.term -> Outstanding.TERM_CHANGED
        !phase.durable && !group.isDurable(phase.answer.position()) -> Outstanding.DURABILITY
        isRecentEnough(request, phase) -> Outstanding.NOTHING
        phase.server == group.primary -> Outstanding.LEADERSHIP
        else -> Outstanding.TOO_OLD
    }
}

private fun StepBuilder.isRecentEnough(request: PendingRequest, phase: RequestPhase.Verifying): Boolean {
    val work = request.work
    return when {
        work is Work.Read -> isLeadershipVerified(request, phase) || isWithinAge(request, work, phase)

        // A transaction that only read has no new entry whose durability would show that its server still led.
        work is Work.Commit -> phase.durable || isLeadershipVerified(request, phase)

        phase.answer is SessionAnswer.Behind -> isLeadershipVerified(request, phase)

        else -> true
    }
}

private fun StepBuilder.isWithinAge(request: PendingRequest, read: Work.Read, phase: RequestPhase.Verifying): Boolean {
    val age = group(request.database).ageOf(phase.answer.position(), now)
    return read.maximumAge.value > 0 && age != null && age <= read.maximumAge && phase.answer !is SessionAnswer.Behind
}

private fun StepBuilder.isLeadershipVerified(request: PendingRequest, phase: RequestPhase.Verifying): Boolean {
    val group = group(request.database)
    val verifiedAt = group.leadershipVerifiedAt
    val known = verifiedAt != null && verifiedAt >= leadershipFloor(request, phase)
    return phase.server == group.primary && (phase.leadershipConfirmed || known)
}

// Whatever was acknowledged before the floor is in what the primary answered. An accepted age that is shorter than the
// command took cannot be met by any server; then the start of the command is the floor.
private fun StepBuilder.leadershipFloor(request: PendingRequest, phase: RequestPhase.Verifying): MonotonicTime {
    val work = request.work
    val accepted = if (work is Work.Read && phase.answer is SessionAnswer.Done) work.maximumAge else Millis(0)
    return minOf(phase.sentAt, now - accepted)
}

/** The position that the answer depends on. */
internal fun SessionAnswer.position(): Position =
    when (this) {
        is SessionAnswer.Done -> position

        is SessionAnswer.Cancelled -> position

        is SessionAnswer.Behind, is SessionAnswer.Conflict, is SessionAnswer.IdentifierReused,
        is SessionAnswer.NoTransaction, is SessionAnswer.Rejected, is SessionAnswer.Unavailable,
        is SessionAnswer.WrongTerm,
        -> Position.ORIGIN
    }

// The record of a repeated request may be an entry of an earlier term, and a proxy that met the primary only after its
// first write does not know where the primary's own term began. A later entry of that term proves the earlier one.
private fun SessionAnswer.provingPosition(): Position {
    val position = position()
    val isOlder = position.term < status.term && status.applied.term == status.term
    return if (isOlder && status.role == ServerRole.PRIMARY) status.applied else position
}

private fun StepBuilder.tooOld(request: PendingRequest, phase: RequestPhase.Verifying) {
    val avoiding = request.copy(avoidedServers = request.avoidedServers + phase.server, replicaWaitOver = true)
    tryAgain(avoiding, "age", ErrorKind.READ_TOO_OLD, "the data of server '${phase.server}' is too old")
}
