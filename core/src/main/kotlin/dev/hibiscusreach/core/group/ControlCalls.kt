package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** Applies the answer to a control command to the group that the command belongs to. */
internal fun GroupsStepBuilder.handleControlAnswer(event: Event.ControlAnswered) {
    val call = completeCall(event.call) ?: return
    // An endpoint that was reassigned to another server answers with the name of that server.
    if (event.answer.status.server != call.server) {
        handleServerFailure(call.server, ConnectionFailure.BROKEN, call.sentAt)
        return
    }
    observeStatus(call.database, event.answer.status, call.sentAt)
    when (val command = call.command) {
        is ControlCommand.Probe ->
            update(call.database) { it.withHealth(call.server) { health -> health.withLatency(now - call.sentAt) } }
        is ControlCommand.Confirm -> handleConfirmEnd(call, event.answer is ControlAnswer.Confirmed)
        is ControlCommand.Fence -> handleFenceAnswer(call, command, event.answer)
        is ControlCommand.Promote -> handlePromoteAnswer(call, command, event.answer)
        is ControlCommand.Follow -> if (event.answer is ControlAnswer.Confirmed) recordFollowing(call, command)
    }
}

/** Handles the failure of a control command, which may have run unless the connection was refused. */
internal fun GroupsStepBuilder.handleControlFailure(event: Event.ControlFailed) {
    val call = completeCall(event.call) ?: return
    handleServerFailure(call.server, event.failure, call.sentAt)
    when (val command = call.command) {
        is ControlCommand.Confirm -> handleConfirmEnd(call, confirmed = false)
        is ControlCommand.Promote -> handlePromoteFailure(call, command, event.failure)
        else -> Unit
    }
}

/** Records that a connection or call made at [attemptedAt] failed, and starts a failover if that is due. */
internal fun GroupsStepBuilder.handleServerFailure(
    server: ServerName,
    failure: ConnectionFailure,
    attemptedAt: MonotonicTime,
) {
    val database = state.configuration.index.groupOf(server)?.name ?: return
    val before = group(database) ?: return
    update(database) {
        it.withHealth(server) { health -> health.failed(failure, attemptedAt, settings.probePeriod) }
    }
    if (before.isReachable(server, now) && group(database)?.isReachable(server, now) == false) {
        signal(Signal.GroupStatusChanged(database))
    }
    startFailoverIfNeeded(database)
}

private fun GroupsStepBuilder.recordFollowing(call: ControlCall, command: ControlCommand.Follow) {
    update(call.database) {
        it.withHealth(call.server) { health -> health.copy(followedTerm = command.term) }
    }
    signal(Signal.GroupStatusChanged(call.database))
}
