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

/** The work of a request until its checks have passed; it changes nothing. */
private val UNCHECKED: Work = Work.Begin

/** Takes a caller's request. */
internal fun Turn.arrive(event: Event.RequestArrived) =
    take(
        PendingRequest(
            arrival = event.arrival,
            origin = RequestOrigin.Caller,
            request = event.request,
            hops = 0,
            work = UNCHECKED,
            deadline = deadline(event.request),
        ),
    )

/** Takes a request that a peer forwarded. */
internal fun Turn.arrive(from: NodeIdentity, message: PeerMessage.ForwardedRequest) =
    take(
        PendingRequest(
            // Negative, so that it differs from the numbers that the caller endpoint gives.
            arrival = ArrivalNumber(-nextNumber()),
            origin = RequestOrigin.Peer(from, message.arrival),
            request = message.request,
            hops = message.hops,
            work = UNCHECKED,
            deadline = deadline(message.request),
        ),
    )

private fun Turn.deadline(request: CallerRequest): MonotonicTime =
    now + minOf(maxOf(request.deadline, Millis(1)), settings.request.maximumDeadline)

private fun Turn.take(request: PendingRequest) {
    val refusal = refusalOfNewWork(request.request)
    if (refusal == null) {
        RequestCheck(index, settings.request, context.wallClockMillis)
            .workOf(request.request)
            .fold(success = { admit(request.copy(work = it)) }, failure = { reply(request, it) })
    } else {
        reply(request, refusal)
    }
}

private fun Turn.refusalOfNewWork(request: CallerRequest): CallerAnswer.Refused? =
    when {
        slice.pending.size >= settings.request.maximumInFlight ->
            refusal(ErrorKind.OVERLOADED, "too many requests are in flight on this proxy")

        isDraining() && !continuesTransaction(request) -> refusal(ErrorKind.DRAINING, "this proxy is shutting down")

        !hasConfiguration -> refusal(ErrorKind.NO_CONFIGURATION, "this proxy has no configuration yet")

        else -> null
    }

private fun Turn.isDraining(): Boolean =
    slice.drainPhase == DrainPhase.FINISHING || slice.drainPhase == DrainPhase.FINISHED

private fun Turn.continuesTransaction(request: CallerRequest): Boolean =
    when (val body = request.body) {
        is RequestBody.TransactionStatements -> body.transaction in slice.transactions
        is RequestBody.CommitTransaction -> body.transaction in slice.transactions
        is RequestBody.RollbackTransaction -> body.transaction in slice.transactions
        is RequestBody.Statements, is RequestBody.BeginTransaction, is RequestBody.ResolveOutcome -> false
    }

private fun Turn.admit(request: PendingRequest) {
    val budget = slice.budgets[request.database] ?: RetryBudget.full(settings.request)
    slice = slice.copy(budgets = slice.budgets.put(request.database, budget.credited(settings.request)))
    startTimer(TimerKey.RequestDeadline(request.arrival), request.deadline)
    route(keep(request))
}

/** Drops the request of a caller that is gone. What was sent is still finished, so that its connection is clean. */
internal fun Turn.disconnect(arrival: ArrivalNumber) {
    val request = slice.pending[arrival]?.copy(abandoned = true) ?: return
    when (val phase = request.phase) {
        is RequestPhase.Sent, is RequestPhase.Verifying -> keep(request)

        is RequestPhase.Connecting -> {
            withdraw(phase)
            abandon(request)
        }

        is RequestPhase.Arrived, is RequestPhase.AwaitingReplica, is RequestPhase.AwaitingPrimary,
        is RequestPhase.Forwarded,
        -> abandon(request)
    }
}

private fun Turn.abandon(request: PendingRequest) {
    drop(request)
    finishDrainIfIdle()
}
