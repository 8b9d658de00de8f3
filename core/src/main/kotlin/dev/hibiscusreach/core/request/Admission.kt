package dev.hibiscusreach.core.request

import com.github.michaelbull.result.fold
import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.RequestBody

/** Placeholder operation of a request that is not validated yet; it changes no data. */
private val UNCHECKED_OPERATION: Operation = Operation.Begin

/** Admits or refuses a caller's request. */
internal fun StepBuilder.onRequestArrived(event: Event.RequestArrived) =
    admitOrRefuse(
        PendingRequest(
            arrival = event.arrival,
            origin = RequestOrigin.Caller,
            request = event.request,
            hops = 0,
            operation = UNCHECKED_OPERATION,
            deadline = deadline(event.request),
        ),
    )

/** Admits or refuses a request that a peer forwarded. */
internal fun StepBuilder.onForwardedRequest(from: NodeIdentity, message: PeerMessage.ForwardedRequest) =
    admitOrRefuse(
        PendingRequest(
            // Negative, because the caller endpoint assigns the positive numbers.
            arrival = ArrivalNumber(-nextNumber()),
            origin = RequestOrigin.Peer(from, message.arrival),
            request = message.request,
            hops = message.hops,
            operation = UNCHECKED_OPERATION,
            deadline = deadline(message.request),
        ),
    )

private fun StepBuilder.deadline(request: CallerRequest): MonotonicTime =
    now + minOf(maxOf(request.deadline, Millis(1)), settings.request.maximumDeadline)

private fun StepBuilder.admitOrRefuse(request: PendingRequest) {
    val refusal = admissionRefusal(request.request)
    if (refusal == null) {
        RequestCheck(configurationIndex, settings.request, context.wallClockMillis)
            .operationOf(request.request)
            .fold(success = { admit(request.copy(operation = it)) }, failure = { reply(request, it) })
    } else {
        reply(request, refusal)
    }
}

private fun StepBuilder.admissionRefusal(request: CallerRequest): CallerAnswer.Refused? =
    when {
        slice.pending.size >= settings.request.maximumInFlight ->
            refusal(ErrorKind.OVERLOADED, "too many requests are in flight on this proxy")

        isDraining() && !continuesTransaction(request) -> refusal(ErrorKind.DRAINING, "this proxy is shutting down")

        !hasConfiguration -> refusal(ErrorKind.NO_CONFIGURATION, "this proxy has no configuration yet")

        else -> null
    }

private fun StepBuilder.isDraining(): Boolean =
    slice.drainPhase == DrainPhase.FINISHING || slice.drainPhase == DrainPhase.FINISHED

private fun StepBuilder.continuesTransaction(request: CallerRequest): Boolean =
    when (val body = request.body) {
        is RequestBody.TransactionStatements -> body.transaction in slice.transactions
        is RequestBody.CommitTransaction -> body.transaction in slice.transactions
        is RequestBody.RollbackTransaction -> body.transaction in slice.transactions
        is RequestBody.Statements, is RequestBody.BeginTransaction, is RequestBody.ResolveOutcome -> false
    }

private fun StepBuilder.admit(request: PendingRequest) {
    val budget = slice.retryBudgets[request.database] ?: RetryBudget.full(settings.request)
    slice = slice.copy(retryBudgets = slice.retryBudgets.put(request.database, budget.credited(settings.request)))
    startTimer(TimerKey.RequestDeadline(request.arrival), request.deadline)
    route(store(request))
}

/**
 * Ends the request of a caller that disconnected. If a command was sent, the request stays until the server answers,
 * so that the connection can be reused.
 */
internal fun StepBuilder.onCallerDisconnected(arrival: ArrivalNumber) {
    val request = slice.pending[arrival]?.copy(abandoned = true) ?: return
    when (val phase = request.phase) {
        is RequestPhase.Sent, is RequestPhase.Verifying -> store(request)

        is RequestPhase.Connecting -> {
            cancelConnectionRequest(phase)
            abandon(request)
        }

        is RequestPhase.Arrived, is RequestPhase.AwaitingReplica, is RequestPhase.AwaitingPrimary,
        is RequestPhase.Forwarded,
        -> abandon(request)
    }
}

private fun StepBuilder.abandon(request: PendingRequest) {
    remove(request)
    finishDrainIfIdle()
}
