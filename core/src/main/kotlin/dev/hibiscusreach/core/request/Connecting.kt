package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.milliseconds

/** Allowance after the pools part's own limit before a missing reply counts as a denial. */
private val POOL_ANSWER_MARGIN: Millis = 100.milliseconds

/** A new attempt's number. */
internal fun StepBuilder.nextAttempt(): AttemptNumber = AttemptNumber(PartName.REQUESTS, nextNumber())

/** Asks for a connection to [server]. */
internal fun StepBuilder.connect(request: PendingRequest, server: ServerName) {
    val attempt = nextAttempt()
    val waitUntil = minOf(request.deadline, now + settings.pool.queueWait)
    signal(Signal.ConnectionRequested(attempt, server, request.request.caller, waitUntil))
    enter(request, RequestPhase.Connecting(attempt, server), waitUntil + POOL_ANSWER_MARGIN)
}

/** Cancels the request for a connection. */
internal fun StepBuilder.withdraw(phase: RequestPhase.Connecting) =
    signal(Signal.ConnectionRequestCancelled(phase.attempt))

/** Uses a granted connection, or returns it if nothing waits for it any more. */
internal fun StepBuilder.granted(signal: Signal.ConnectionGranted) {
    val request = slice.index.attempts[signal.attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    when {
        phase is RequestPhase.Connecting -> useConnection(request, phase, signal.connection)
        signal.attempt.owner == PartName.REQUESTS -> returnConnection(signal.connection, ConnectionCondition.CLEAN)
    }
}

/** Returns [connection] to its pool. */
internal fun StepBuilder.returnConnection(connection: ConnectionNumber, condition: ConnectionCondition) =
    signal(Signal.ConnectionReturned(connection, condition))

/** Handles the denial of a connection. Nothing was sent. */
internal fun StepBuilder.denied(signal: Signal.ConnectionDenied) {
    val request = slice.index.attempts[signal.attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Connecting) noConnection(request, phase, signal.kind)
}

/** Selects another server, waits or refuses, because there is no connection to the server of [phase]. */
internal fun StepBuilder.noConnection(request: PendingRequest, phase: RequestPhase.Connecting, kind: ErrorKind) {
    val free = store(request.copy(phase = RequestPhase.Arrived, avoidedServers = request.avoidedServers + phase.server))
    val atPrimary = phase.server == group(request.database).primary
    when {
        kind == ErrorKind.DRAINING -> route(store(request.copy(phase = RequestPhase.Arrived)))

        request.work !is Work.Read && !atPrimary -> route(free)

        request.work is Work.Read && !atPrimary && kind != ErrorKind.CALLER_LIMIT_REACHED ->
            route(free.copy(replicaWaitOver = true))

        request.work is Work.Resolve || kind == ErrorKind.SERVER_UNREACHABLE ->
            awaitPrimary(free, rejected = primaryView(request.database))

        else -> refuse(free, kind, "no connection to server '${phase.server}' is available")
    }
}
