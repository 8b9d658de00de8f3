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

/** Longest wait of one Confirm command. A position that arrives later is confirmed by the next command. */
private val CONFIRM_WAIT = 500.milliseconds

/** Answers as soon as a majority holds the position. */
internal fun GroupsTurn.wantDurability(wanted: Signal.DurabilityRequested) {
    val known = group(wanted.database)
    when {
        known == null || wanted.waitUntil <= now || known.cannotSettle(wanted.position) ->
            signal(Signal.DurabilityNotReached(wanted.attempt))
        known.isSettled(wanted.position) -> signal(Signal.DurabilityReached(wanted.attempt))
        else -> {
            val wait = DurabilityWait(wanted.position, wanted.waitUntil)
            update(wanted.database) { it.copy(durabilityWaits = it.durabilityWaits.put(wanted.attempt, wait)) }
            emit(Effect.StartTimer(TimerKey.DurabilityTimeout(wanted.attempt), wanted.waitUntil - now))
            sendConfirms(wanted.database)
        }
    }
}

/** Sends a Confirm of the highest wanted position to every replica that has none outstanding. */
internal fun GroupsTurn.sendConfirms(database: DatabaseName) {
    val known = group(database) ?: return
    val highest =
        known.durabilityWaits.values
            .map { it.position }
            .filter { it.term <= known.term }
            .maxOrNull() ?: return
    val command = ControlCommand.Confirm(known.term, highest, confirmWait(known).value)
    known.group.servers
        .map { it.name }
        .filter { known.canConfirm(it, highest) && known.isReachable(it, now) }
        .forEach { replica ->
            update(database) { it.copy(confirms = it.confirms.put(replica, ConfirmChannel.OUTSTANDING)) }
            sendControl(known, replica, command, CONFIRM_WAIT + settings.probeTimeout)
        }
}

private fun GroupsTurn.confirmWait(known: GroupState): Millis {
    val last = known.durabilityWaits.values.maxOf { it.waitUntil }
    return (last - now).coerceIn(0.milliseconds, CONFIRM_WAIT)
}

private fun GroupState.canConfirm(server: ServerName, position: Position): Boolean =
    server != primary &&
        server !in confirms &&
        healthOf(server).term == term &&
        (heldInTerm(server) ?: Position.ORIGIN) < position

// Entries of an older term after the start of the current one were written by a replaced primary only. Without a known
// start nothing can be proved about entries that were not held by a majority before.
private fun GroupState.cannotSettle(position: Position): Boolean =
    position.term < term && !isSettled(position) && (termStart == null || position > termStart)

/** Lets the next Confirm go to the replica: at once, or from the next probe period on if this one failed. */
internal fun GroupsTurn.confirmEnded(call: ControlCall, confirmed: Boolean) {
    val current = (call.command as ControlCommand.Confirm).term == group(call.database)?.term
    if (!current) return
    update(call.database) {
        val confirms = it.confirms
        it.copy(
            confirms = if (confirmed) confirms.remove(call.server) else confirms.put(call.server, ConfirmChannel.PAUSED)
        )
    }
    if (confirmed) sendConfirms(call.database)
}
