package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** Takes in the answer to a control command. */
internal fun GroupsTurn.controlAnswered(event: Event.ControlAnswered) {
    val call = endCall(event.call) ?: return
    // An endpoint that was given to another server answers with that server's name.
    if (event.answer.status.server != call.server) {
        serverFailed(call.server, ConnectionFailure.BROKEN, call.sentAt)
        return
    }
    observe(call.database, event.answer.status, call.sentAt)
    when (val command = call.command) {
        is ControlCommand.Probe ->
            update(call.database) { it.withHealth(call.server) { known -> known.withLatency(now - call.sentAt) } }
        is ControlCommand.Confirm -> confirmEnded(call, event.answer is ControlAnswer.Confirmed)
        is ControlCommand.Fence -> fenceAnswered(call, command, event.answer)
        is ControlCommand.Promote -> promoteAnswered(call, command, event.answer)
        is ControlCommand.Follow -> if (event.answer is ControlAnswer.Confirmed) followConfirmed(call, command)
    }
}

/** Takes in that a control command was not answered. */
internal fun GroupsTurn.controlFailed(event: Event.ControlFailed) {
    val call = endCall(event.call) ?: return
    serverFailed(call.server, event.failure, call.sentAt)
    when (val command = call.command) {
        is ControlCommand.Confirm -> confirmEnded(call, confirmed = false)
        is ControlCommand.Promote -> promoteFailed(call, command, event.failure)
        else -> Unit
    }
}

/** Takes in that a connection or call made at [attemptedAt] failed. */
internal fun GroupsTurn.serverFailed(server: ServerName, failure: ConnectionFailure, attemptedAt: MonotonicTime) {
    val database = state.configuration.index.groupOf(server)?.name ?: return
    val before = group(database) ?: return
    update(database) {
        it.withHealth(server) { known -> known.failed(failure, attemptedAt, settings.probePeriod) }
    }
    if (before.isReachable(server, now) && group(database)?.isReachable(server, now) == false) {
        signal(Signal.GroupStatusChanged(database))
    }
    watchPrimary(database)
}

private fun GroupsTurn.followConfirmed(call: ControlCall, command: ControlCommand.Follow) {
    update(call.database) {
        it.withHealth(call.server) { known -> known.copy(followedTerm = command.term) }
    }
    signal(Signal.GroupStatusChanged(call.database))
}
