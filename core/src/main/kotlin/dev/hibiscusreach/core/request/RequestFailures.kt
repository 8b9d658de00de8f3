package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.ErrorKind

/** Handles the loss of a granted connection. */
internal fun StepBuilder.onConnectionLost(signal: Signal.ConnectionLost) {
    val transaction = slice.pinnedConnections[signal.connection]?.let { slice.transactions[it] }
    val request = slice.phaseIndex.byConnection[signal.connection]?.let { slice.pending[it] }
    val phase = request?.phase
    when {
        transaction != null -> abortTransaction(transaction, condition = null)
        phase is RequestPhase.Sent -> handleLostCommand(request, phase, signal.failure.name.lowercase())
    }
}

private fun StepBuilder.handleLostCommand(request: PendingRequest, phase: RequestPhase.Sent, reason: String) {
    val avoiding =
        request.copy(phase = RequestPhase.Arrived, avoidedServers = request.avoidedServers + phase.server)
    handleLostAnswer(store(avoiding), request.operation, reason)
}

/** Stops waiting for the answer in [phase]. The connection is returned as doubtful; a late answer is discarded. */
internal fun StepBuilder.abandonCommand(request: PendingRequest, phase: RequestPhase.Sent, reason: String) {
    val transaction = slice.pinnedConnections[phase.connection]?.let { slice.transactions[it] }
    if (transaction == null) {
        returnConnection(phase.connection, ConnectionCondition.DOUBTFUL)
        handleLostCommand(request, phase, reason)
    } else {
        abortTransaction(transaction, ConnectionCondition.DOUBTFUL)
    }
}

/** Handles the replacement of a primary: stops waiting for the answers to commands that the old one received. */
internal fun StepBuilder.onPrimaryChanged(signal: Signal.PrimaryChanged) {
    endTransactionsBefore(signal.database, signal.term)
    slice.pending.values
        .filter { it.database == signal.database && it.operation !is Operation.Read }
        .forEach { request ->
            val phase = request.phase
            if (phase is RequestPhase.Sent && phase.term < signal.term) abandonCommand(request, phase, "term")
        }
    reconsiderWaiting(signal.database)
}

/** Handles the step timer of a request, which ends its phase, or its deadline if that has passed too. */
internal fun StepBuilder.onRequestStepTimeout(arrival: ArrivalNumber) {
    val request = slice.pending[arrival] ?: return
    val due = request.stepDue ?: return
    when {
        now < due -> startTimer(TimerKey.RequestStep(arrival), due)
        now >= request.deadline -> refuseExpired(request)
        else -> endPhase(request)
    }
}

private fun StepBuilder.endPhase(request: PendingRequest) {
    when (val phase = request.phase) {
        is RequestPhase.Arrived, is RequestPhase.Forwarded -> Unit

        is RequestPhase.AwaitingReplica -> route(request.copy(replicaWaitOver = true))

        is RequestPhase.AwaitingPrimary -> endPrimaryPause(request, phase)

        is RequestPhase.Connecting -> {
            cancelConnectionRequest(phase)
            handleUnavailableConnection(request, phase, ErrorKind.OVERLOADED)
        }

        is RequestPhase.Sent -> abandonCommand(request, phase, "timeout")

        is RequestPhase.Verifying -> onVerificationFailed(phase.attempt)
    }
}

/** Handles the deadline timer of a request. */
internal fun StepBuilder.onRequestDeadline(arrival: ArrivalNumber) {
    val request = slice.pending[arrival] ?: return
    if (now < request.deadline) {
        startTimer(TimerKey.RequestDeadline(arrival), request.deadline)
    } else {
        refuseExpired(request)
    }
}

// A command in flight leaves its connection doubtful. Ending a transaction rolls it back, unless its commit was sent.
private fun StepBuilder.refuseExpired(request: PendingRequest) {
    val operation = request.operation
    val phase = request.phase
    val transaction = (operation as? Operation.InTransaction)?.let { slice.transactions[it.transaction] }
    when {
        transaction?.activeRequest == request.arrival ->
            endTransaction(transaction.identifier, ConnectionCondition.DOUBTFUL)

        phase is RequestPhase.Connecting -> cancelConnectionRequest(phase)

        phase is RequestPhase.Sent -> returnConnection(phase.connection, ConnectionCondition.DOUBTFUL)
    }
    if (transaction?.activeRequest == request.arrival && operation !is Operation.Commit) {
        refuseDefinitively(request, ErrorKind.TRANSACTION_ENDED, "the deadline passed; the transaction was rolled back")
    } else {
        refuse(request, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed")
    }
}
