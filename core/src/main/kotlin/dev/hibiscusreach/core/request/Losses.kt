package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.ErrorKind

/** Handles the loss of a granted connection. */
internal fun Turn.connectionLost(signal: Signal.ConnectionLost) {
    val transaction = slice.pinned[signal.connection]?.let { slice.transactions[it] }
    val request = slice.index.connections[signal.connection]?.let { slice.pending[it] }
    val phase = request?.phase
    when {
        transaction != null -> loseTransaction(transaction, condition = null)
        phase is RequestPhase.Sent -> sentAttemptLost(request, phase, signal.failure.name.lowercase())
    }
}

private fun Turn.sentAttemptLost(request: PendingRequest, phase: RequestPhase.Sent, reason: String) {
    val avoiding =
        request.copy(phase = RequestPhase.Arrived, avoidedServers = request.avoidedServers + phase.server)
    attemptLost(keep(avoiding), request.work, reason)
}

/** Gives the command of [phase] up: its connection is in doubt, and its late answer will be discarded. */
internal fun Turn.giveUp(request: PendingRequest, phase: RequestPhase.Sent, reason: String) {
    val transaction = slice.pinned[phase.connection]?.let { slice.transactions[it] }
    if (transaction == null) {
        giveBack(phase.connection, ConnectionCondition.DOUBTFUL)
        sentAttemptLost(request, phase, reason)
    } else {
        loseTransaction(transaction, ConnectionCondition.DOUBTFUL)
    }
}

/** Handles a primary's replacement: the old one's answers cannot be relied on, and none may come. */
internal fun Turn.primaryChanged(signal: Signal.PrimaryChanged) {
    endTransactionsBefore(signal.database, signal.term)
    slice.pending.values
        .filter { it.database == signal.database && it.work !is Work.Read }
        .forEach { request ->
            val phase = request.phase
            if (phase is RequestPhase.Sent && phase.term < signal.term) giveUp(request, phase, "term")
        }
    reconsiderWaiting(signal.database)
}

/** Handles the end of a step of a request. */
internal fun Turn.stepOver(arrival: ArrivalNumber) {
    val request = slice.pending[arrival] ?: return
    val due = request.stepDue ?: return
    when {
        now < due -> startTimer(TimerKey.RequestStep(arrival), due)
        now >= request.deadline -> expire(request)
        else -> phaseOver(request)
    }
}

private fun Turn.phaseOver(request: PendingRequest) {
    when (val phase = request.phase) {
        is RequestPhase.Arrived -> Unit

        is RequestPhase.AwaitingReplica -> route(request.copy(replicaWaitOver = true))

        is RequestPhase.AwaitingPrimary -> primaryPauseOver(request, phase)

        is RequestPhase.Connecting -> {
            withdraw(phase)
            noConnection(request, phase, ErrorKind.OVERLOADED)
        }

        is RequestPhase.Sent -> giveUp(request, phase, "timeout")

        is RequestPhase.Verifying -> notVerified(phase.attempt)

        is RequestPhase.Forwarded -> if (!request.work.leavesOutcomeOpen) forwardLost(request, phase.peer)
    }
}

/** Handles the end of the time that the caller gave. */
internal fun Turn.deadlineReached(arrival: ArrivalNumber) {
    val request = slice.pending[arrival] ?: return
    if (now < request.deadline) {
        startTimer(TimerKey.RequestDeadline(arrival), request.deadline)
    } else {
        expire(request)
    }
}

private fun Turn.expire(request: PendingRequest) {
    val work = request.work
    val phase = request.phase
    val holder = (work as? Work.InTransaction)?.let { slice.transactions[it.transaction] }
    when {
        holder?.busy == request.arrival -> endTransaction(holder.identifier, ConnectionCondition.DOUBTFUL)
        phase is RequestPhase.Connecting -> withdraw(phase)
        phase is RequestPhase.Sent -> giveBack(phase.connection, ConnectionCondition.DOUBTFUL)
    }
    if (holder?.busy == request.arrival && work !is Work.Commit) {
        refuseAsSettled(request, ErrorKind.TRANSACTION_ENDED, "the deadline passed; the transaction was rolled back")
    } else {
        refuse(request, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed")
    }
}
