package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.milliseconds

/** Longest time a replica holds a Confirm command open. The next command covers positions that arrive later. */
private val CONFIRM_WAIT = 500.milliseconds

/** Answers the request at once if it can be decided, and as soon as a majority holds the position otherwise. */
internal fun GroupsStepBuilder.awaitDurability(request: Signal.DurabilityRequested) {
    val groupState = group(request.database)
    when {
        groupState == null || request.waitUntil <= now || groupState.cannotBecomeDurable(request.position) ->
            signal(Signal.DurabilityNotReached(request.attempt))
        groupState.isDurable(request.position) -> signal(Signal.DurabilityReached(request.attempt))
        else -> {
            val wait = DurabilityWait(request.position, request.waitUntil)
            update(request.database) { it.copy(durabilityWaits = it.durabilityWaits.put(request.attempt, wait)) }
            emit(Effect.StartTimer(TimerKey.DurabilityTimeout(request.attempt), request.waitUntil - now))
            sendConfirms(request.database)
        }
    }
}

/** Sends a Confirm of the highest position waited for to every reachable replica that has none outstanding. */
internal fun GroupsStepBuilder.sendConfirms(database: DatabaseName) {
    val groupState = group(database) ?: return
    val highest =
        groupState.durabilityWaits.values
            .map { it.position }
            .filter { it.term <= groupState.term }
            .maxOrNull() ?: return
    val command = ControlCommand.Confirm(groupState.term, highest, confirmWait(groupState).value)
    groupState.group.servers
        .map { it.name }
        .filter { groupState.canConfirm(it, highest) && groupState.isReachable(it, now) }
        .forEach { replica ->
            update(database) { it.copy(confirms = it.confirms.put(replica, ConfirmState.OUTSTANDING)) }
            sendControl(groupState, replica, command, CONFIRM_WAIT + settings.probeTimeout)
        }
}

private fun GroupsStepBuilder.confirmWait(groupState: GroupState): Millis {
    val last = groupState.durabilityWaits.values.maxOf { it.waitUntil }
    return (last - now).coerceIn(0.milliseconds, CONFIRM_WAIT)
}

private fun GroupState.canConfirm(server: ServerName, position: Position): Boolean =
    server != primary &&
        server !in confirms &&
        healthOf(server).term == term &&
        (heldInTerm(server) ?: Position.ORIGIN) < position

// Only a replaced primary wrote entries of an older term that lie after the start of the current term. As long as that
// start is unknown, nothing can be proved about older entries that no majority was known to hold.
private fun GroupState.cannotBecomeDurable(position: Position): Boolean =
    position.term < term && !isDurable(position) && (termStart == null || position > termStart)

/** Allows the next Confirm to the replica: at once, or from the next probe period on if this one failed. */
internal fun GroupsStepBuilder.handleConfirmEnd(call: ControlCall, confirmed: Boolean) {
    val current = (call.command as ControlCommand.Confirm).term == group(call.database)?.term
    if (!current) return
    update(call.database) {
        val confirms = it.confirms
        it.copy(
            confirms = if (confirmed) confirms.remove(call.server) else confirms.put(call.server, ConfirmState.PAUSED)
        )
    }
    if (confirmed) sendConfirms(call.database)
}
