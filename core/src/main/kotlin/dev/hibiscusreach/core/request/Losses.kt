package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.ErrorKind

/** Handles the loss of a granted connection. */
internal fun StepBuilder.connectionLost(signal: Signal.ConnectionLost) {
    val transaction = slice.pinned[signal.connection]?.let { slice.transactions[it] }
    val request = slice.index.connections[signal.connection]?.let { slice.pending[it] }
    val phase = request?.phase
    when {
        transaction != null -> transactionLost(transaction, condition = null)
        phase is RequestPhase.Sent -> sentAttemptLost(request, phase, signal.failure.name.lowercase())
    }
}

private fun StepBuilder.sentAttemptLost(request: PendingRequest, phase: RequestPhase.Sent, reason: String) {
    val avoiding =
        request.copy(phase = RequestPhase.Arrived, avoidedServers = request.avoidedServers + phase.server)
    attemptLost(store(avoiding), request.work, reason)
}

/** Stops waiting for the answer in [phase]. The connection is in doubt, and a late answer will be discarded. */
internal fun StepBuilder.abandonCommand(request: PendingRequest, phase: RequestPhase.Sent, reason: String) {
    val transaction = slice.pinned[phase.connection]?.let { slice.transactions[it] }
    if (transaction == null) {
        returnConnection(phase.connection, ConnectionCondition.DOUBTFUL)
        sentAttemptLost(request, phase, reason)
    } else {
        transactionLost(transaction, ConnectionCondition.DOUBTFUL)
    }
}

/** Handles the replacement of a primary: commands sent to the old one are not awaited any longer. */
internal fun StepBuilder.primaryChanged(signal: Signal.PrimaryChanged) {
    endTransactionsBefore(signal.database, signal.term)
    slice.pending.values
        .filter { it.database == signal.database && it.work !is Work.Read }
        .forEach { request ->
            val phase = request.phase
            if (phase is RequestPhase.Sent && phase.term < signal.term) abandonCommand(request, phase, "term")
        }
    reconsiderWaiting(signal.database)
}

/** Handles the time-out of a request's phase. */
internal fun StepBuilder.stepOver(arrival: ArrivalNumber) {
    val request = slice.pending[arrival] ?: return
    val due = request.stepDue ?: return
    when {
        now < due -> startTimer(TimerKey.RequestStep(arrival), due)
        now >= request.deadline -> expire(request)
        else -> phaseOver(request)
    }
}

private fun StepBuilder.phaseOver(request: PendingRequest) {
    when (val phase = request.phase) {
        is RequestPhase.Arrived, is RequestPhase.Forwarded -> Unit

        is RequestPhase.AwaitingReplica -> route(request.copy(replicaWaitOver = true))

        is RequestPhase.AwaitingPrimary -> primaryPauseOver(request, phase)

        is RequestPhase.Connecting -> {
            withdraw(phase)
            noConnection(request, phase, ErrorKind.OVERLOADED)
        }

        is RequestPhase.Sent -> abandonCommand(request, phase, "timeout")

        is RequestPhase.Verifying -> notVerified(phase.attempt)
    }
}

/** Handles the deadline of a request. */
internal fun StepBuilder.deadlineReached(arrival: ArrivalNumber) {
    val request = slice.pending[arrival] ?: return
    if (now < request.deadline) {
        startTimer(TimerKey.RequestDeadline(arrival), request.deadline)
    } else {
        expire(request)
    }
}

private fun StepBuilder.expire(request: PendingRequest) {
    val work = request.work
    val phase = request.phase
    val holder = (work as? Work.InTransaction)?.let { slice.transactions[it.transaction] }
    when {
        holder?.busy == request.arrival -> endTransaction(holder.identifier, ConnectionCondition.DOUBTFUL)
        phase is RequestPhase.Connecting -> withdraw(phase)
        phase is RequestPhase.Sent -> returnConnection(phase.connection, ConnectionCondition.DOUBTFUL)
    }
    if (holder?.busy == request.arrival && work !is Work.Commit) {
        refuseAsSettled(request, ErrorKind.TRANSACTION_ENDED, "the deadline passed; the transaction was rolled back")
    } else {
        refuse(request, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed")
    }
}
