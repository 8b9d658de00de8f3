package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** One part in this many of the remaining time is reserved for resolving the outcome of a command. */
private const val RESOLUTION_RESERVE_DIVISOR = 4

/**
 * Sends the command of [request] on the connection that was granted to it. If the server of [phase] is no longer the
 * primary that the command needs, returns the connection and routes the request again.
 */
internal fun StepBuilder.useConnection(
    request: PendingRequest,
    phase: RequestPhase.Connecting,
    connection: ConnectionNumber,
) {
    val group = group(request.database)
    if (request.operation !is Operation.Read && group.primary != phase.server) {
        returnConnection(connection, ConnectionCondition.CLEAN)
        route(request)
    } else {
        sendCommand(request, phase.attempt, phase.server, connection, commandOf(request, group.term))
    }
}

/** Sends [command] on [connection] and waits for the answer. */
internal fun StepBuilder.sendCommand(
    request: PendingRequest,
    attempt: AttemptNumber,
    server: ServerName,
    connection: ConnectionNumber,
    command: SessionCommand,
) {
    emit(Effect.SendSessionCommand(connection, attempt, command))
    enter(
        request.copy(attempts = request.attempts + 1),
        RequestPhase.Sent(attempt, server, connection, command.term, now),
        commandTimeoutAt(request),
    )
}

private fun StepBuilder.commandTimeoutAt(request: PendingRequest): MonotonicTime {
    val remaining = request.deadline - now
    return now +
        minOf(settings.request.commandTimeout, Millis(remaining.value - remaining.value / RESOLUTION_RESERVE_DIVISOR))
}

private fun commandOf(request: PendingRequest, term: Term): SessionCommand =
    when (val operation = request.operation) {
        is Operation.Read -> SessionCommand.Execute(term, operation.statements, write = false, request.seenPosition)

        is Operation.Write ->
            SessionCommand.Execute(term, operation.statements, write = true, request.seenPosition, operation.key)

        is Operation.Begin -> SessionCommand.Begin(term, request.seenPosition)

        is Operation.Resolve -> SessionCommand.Resolve(term, operation.identifier)

        is Operation.Run -> SessionCommand.Run(term, operation.statements)

        is Operation.Commit -> SessionCommand.Commit(term, operation.key)

        is Operation.Rollback -> SessionCommand.Rollback(term)
    }

/** Returns the command of a request in an open transaction, with the term in which the transaction began. */
internal fun commandInTransaction(request: PendingRequest, transaction: OpenTransaction): SessionCommand =
    commandOf(request, transaction.term)
