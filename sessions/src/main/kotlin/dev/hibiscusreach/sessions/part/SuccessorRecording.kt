package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * Names the successor in the group's record before its promotion is requested. The outcome of a request may stay
 * unknown, and its proxy may end, so every later step of the change, by any proxy, has to know that the promotion may
 * still take effect. The write is conditional: a proxy whose change was taken over requests no promotion of another
 * server.
 */
internal object SuccessorRecording {
    /** Records the chosen successor of [change], unless the record names it already. */
    fun start(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val next = PrimaryChanges.enterPhase(reduction, group, change, ChangePhase.RECORDING_SUCCESSOR)
        next.change?.let { advance(reduction, next, it) }
    }

    /** Continues once the record names the successor, which a read may show as well, or repeats the write. */
    fun advance(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val record = group.record ?: return
        if (record.successor == change.successor) {
            val next = PrimaryChanges.enterPhase(reduction, group, change, ChangePhase.ACQUIRING)
            next.change?.let { SuccessorPromotion.advance(reduction, next, it) }
        } else if (PrimaryChanges.areRequestsDue(reduction, change)) {
            reduction.put(group.copy(change = change.copy(requestsSentAt = reduction.now)))
            val named = record.copy(successor = change.successor)
            reduction.emit(SessionEffect.WriteFleet(FleetKey.group(group.name), named, group.revision))
        }
    }

    /** Handles the confirmation of the write. */
    fun handleWritten(reduction: Reduction, group: GroupView, change: PrimaryChange, revision: Revision) {
        val named = group.record?.copy(successor = change.successor)
        reduction.put(group.copy(record = named, revision = revision))
        PrimaryChanges.advance(reduction, group.name)
    }

    /**
     * The server whose promotion may still take effect; null if none was requested, or if the server is gone or its
     * promotion was rejected.
     */
    fun outstanding(reduction: Reduction, group: GroupView, change: PrimaryChange): ServerName? =
        group.record?.successor?.takeIf { requested ->
            val isRegistered = reduction.servers(group.name).any { it.name == requested }
            isRegistered && requested !in change.rejected && !change.primaryConfirmed
        }
}
