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

/** Time after the pools part's own limit at which a connection that was neither granted nor denied is given up. */
private val POOL_ANSWER_MARGIN: Millis = 100.milliseconds

/** A new attempt's number. */
internal fun Turn.nextAttempt(): AttemptNumber = AttemptNumber(PartName.REQUESTS, nextNumber())

/** Asks for a connection to [server]. */
internal fun Turn.connect(request: PendingRequest, server: ServerName) {
    val attempt = nextAttempt()
    val waitUntil = minOf(request.deadline, now + settings.pool.queueWait)
    signal(Signal.ConnectionWanted(attempt, server, request.request.caller, waitUntil))
    enter(request, RequestPhase.Connecting(attempt, server), waitUntil + POOL_ANSWER_MARGIN)
}

/** Takes the wish for a connection back. */
internal fun Turn.withdraw(phase: RequestPhase.Connecting) = signal(Signal.ConnectionNotWanted(phase.attempt))

/** Uses a granted connection, or returns it if nothing waits for it any more. */
internal fun Turn.granted(signal: Signal.ConnectionGranted) {
    val request = slice.index.attempts[signal.attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    when {
        phase is RequestPhase.Connecting -> useConnection(request, phase, signal.connection)
        signal.attempt.owner == PartName.REQUESTS -> giveBack(signal.connection, ConnectionCondition.CLEAN)
    }
}

/** Returns [connection] to its pool. */
internal fun Turn.giveBack(connection: ConnectionNumber, condition: ConnectionCondition) =
    signal(Signal.ConnectionReturned(connection, condition))

/** Handles that no connection can be had; nothing was sent. */
internal fun Turn.denied(signal: Signal.ConnectionDenied) {
    val request = slice.index.attempts[signal.attempt]?.let { slice.pending[it] }
    val phase = request?.phase
    if (phase is RequestPhase.Connecting) noConnection(request, phase, signal.kind)
}

/** Goes on without a connection to the server of [phase]. */
internal fun Turn.noConnection(request: PendingRequest, phase: RequestPhase.Connecting, kind: ErrorKind) {
    val free = keep(request.copy(phase = RequestPhase.Arrived, avoidedServers = request.avoidedServers + phase.server))
    val atPrimary = phase.server == group(request.database).primary
    when {
        request.work is Work.Read && !atPrimary && kind != ErrorKind.CALLER_LIMIT_REACHED ->
            route(free.copy(replicaWaitOver = true))

        request.work is Work.Resolve || kind == ErrorKind.SERVER_UNREACHABLE ->
            awaitPrimary(free, rejected = primaryView(request.database))

        else -> refuse(free, kind, "no connection to server '${phase.server}' could be had")
    }
}
