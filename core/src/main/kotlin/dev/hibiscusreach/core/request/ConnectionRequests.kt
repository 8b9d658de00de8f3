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

/** Time that the pools part has for a reply after its own queue limit; then the request is handled as denied. */
private val POOL_ANSWER_MARGIN: Millis = 100.milliseconds

/** Returns a new attempt number. */
internal fun StepBuilder.nextAttempt(): AttemptNumber = AttemptNumber(PartName.REQUESTS, nextNumber())

/** Asks the pools part for a connection to [server] and waits for it at most as long as a request may queue. */
internal fun StepBuilder.requestConnection(request: PendingRequest, server: ServerName) {
    val attempt = nextAttempt()
    val waitUntil = minOf(request.deadline, now + settings.pool.queueWait)
    signal(Signal.ConnectionRequested(attempt, server, request.request.caller, waitUntil))
    enter(request, RequestPhase.Connecting(attempt, server), waitUntil + POOL_ANSWER_MARGIN)
}

/** Tells the pools part that the connection of [phase] is no longer needed. */
internal fun StepBuilder.cancelConnectionRequest(phase: RequestPhase.Connecting) =
    signal(Signal.ConnectionRequestCancelled(phase.attempt))

/** Uses a granted connection, or returns it if its request no longer waits for it. */
internal fun StepBuilder.onConnectionGranted(signal: Signal.ConnectionGranted) {
    val request = slice.phaseIndex.byAttempt[signal.attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    when {
        phase is RequestPhase.Connecting -> useConnection(request, phase, signal.connection)
        signal.attempt.owner == PartName.REQUESTS -> returnConnection(signal.connection, ConnectionCondition.CLEAN)
    }
}

/** Returns [connection] to its pool. */
internal fun StepBuilder.returnConnection(connection: ConnectionNumber, condition: ConnectionCondition) =
    signal(Signal.ConnectionReturned(connection, condition))

/** Handles the denial of a connection. No command was sent. */
internal fun StepBuilder.onConnectionDenied(signal: Signal.ConnectionDenied) {
    val request = slice.phaseIndex.byAttempt[signal.attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Connecting) handleUnavailableConnection(request, phase, signal.kind)
}

/** Routes to another server, waits or refuses, because no connection to the server of [phase] is available. */
internal fun StepBuilder.handleUnavailableConnection(
    request: PendingRequest,
    phase: RequestPhase.Connecting,
    kind: ErrorKind,
) {
    val unrouted =
        store(request.copy(phase = RequestPhase.Arrived, avoidedServers = request.avoidedServers + phase.server))
    val atPrimary = phase.server == group(request.database).primary
    when {
        kind == ErrorKind.DRAINING -> route(store(request.copy(phase = RequestPhase.Arrived)))

        request.operation !is Operation.Read && !atPrimary -> route(unrouted)

        request.operation is Operation.Read && !atPrimary && kind != ErrorKind.CALLER_LIMIT_REACHED ->
            route(unrouted.copy(replicaWaitOver = true))

        request.operation is Operation.Resolve || kind == ErrorKind.SERVER_UNREACHABLE ->
            awaitPrimary(unrouted, rejected = primaryView(request.database))

        else -> refuse(unrouted, kind, "no connection to server '${phase.server}' is available")
    }
}
