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

/** Of the remaining time, a command may take all but one part in this many, which is left to resolve its outcome. */
private const val RESOLUTION_DIVISOR = 4

/** Sends the command of [request] on the connection that was granted to it. */
internal fun Turn.useConnection(
    request: PendingRequest,
    phase: RequestPhase.Connecting,
    connection: ConnectionNumber,
) {
    val group = group(request.database)
    if (request.work !is Work.Read && group.primary != phase.server) {
        giveBack(connection, ConnectionCondition.CLEAN)
        route(request)
    } else {
        send(request, phase.attempt, phase.server, connection, commandOf(request, group.term))
    }
}

/** Sends [command] on [connection]. */
internal fun Turn.send(
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
        commandWaitEnd(request),
    )
}

private fun Turn.commandWaitEnd(request: PendingRequest): MonotonicTime {
    val remaining = request.deadline - now
    return now + minOf(settings.request.commandTimeout, Millis(remaining.value - remaining.value / RESOLUTION_DIVISOR))
}

private fun commandOf(request: PendingRequest, term: Term): SessionCommand =
    when (val work = request.work) {
        is Work.Read -> SessionCommand.Execute(term, work.statements, write = false, request.seenPosition)

        is Work.Write ->
            SessionCommand.Execute(term, work.statements, write = true, request.seenPosition, work.key)

        is Work.Begin -> SessionCommand.Begin(term, request.seenPosition)

        is Work.Resolve -> SessionCommand.Resolve(term, work.identifier)

        is Work.Run -> SessionCommand.Run(term, work.statements)

        is Work.Commit -> SessionCommand.Commit(term, work.key)

        is Work.Rollback -> SessionCommand.Rollback(term)
    }

/** The command of a request in an open transaction, in the term in which the transaction began. */
internal fun commandInTransaction(request: PendingRequest, transaction: OpenTransaction): SessionCommand =
    commandOf(request, transaction.term)
