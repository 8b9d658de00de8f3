package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.Fence
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session

/**
 * Stops the use of a primary that is being replaced. A fence is settled once nothing that was sent to the primary is
 * still trusted; only then is it confirmed, so that a successor cannot lead beside it.
 */
internal object PrimaryFencing {
    /** A peer that replaces the primary asks for a fence. */
    fun asked(turn: Reduction, number: PeerRequestNumber, request: PeerRequest.Fence) {
        val name = GroupName(request.group)
        val inForce = turn.group(name).record
        if (inForce != null && inForce.changedBy == null && inForce.epoch >= request.epoch) {
            turn.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Done))
            return
        }
        raise(turn, name, request.epoch, request.planned)
        val group = turn.group(name)
        group.fence?.let { turn.put(group.copy(fence = it.copy(waiting = it.waiting.add(number)))) }
        settle(turn, name)
    }

    /** Stops the use of the primary before [epoch]. */
    fun raise(turn: Reduction, name: GroupName, epoch: Long, planned: Boolean) {
        val group = turn.group(name)
        val before = group.fence
        if (before != null && before.epoch >= epoch) return
        turn.log("primary fenced", "group" to name, "epoch" to epoch, "planned" to planned)
        val waiting = before?.waiting ?: Fence(epoch, turn.now, planned).waiting
        turn.put(group.copy(fence = Fence(epoch, turn.now, planned, waiting = waiting)))
        settle(turn, name)
    }

    /** Confirms a fence when nothing is in flight to the primary, or when its grace is over. */
    fun settle(turn: Reduction, name: GroupName) {
        val group = turn.group(name)
        val fence = group.fence ?: return
        if (!fence.settled) {
            val grace = if (fence.planned) turn.settings.changes.plannedGrace else turn.settings.changes.failureGrace
            val affected = affected(turn, group)
            val over = turn.now - fence.since >= grace
            if (affected.any { holdsFence(it, fence.planned) } && !over) return
            affected.forEach { endTransaction(turn, it) }
        }
        confirm(turn, name)
    }

    /** Answers peers that wait for a fence which is no longer needed. */
    fun dropWaiting(turn: Reduction, group: GroupView) =
        group.fence
            ?.waiting
            .orEmpty()
            .forEach { turn.emit(SessionEffect.AnswerPeer(it, PeerAnswer.Done)) }

    private fun confirm(turn: Reduction, name: GroupName) {
        val group = turn.group(name)
        val fence = group.fence ?: return
        if (!fence.settled) turn.log("fence settled", "group" to name, "epoch" to fence.epoch)
        fence.waiting.forEach { turn.emit(SessionEffect.AnswerPeer(it, PeerAnswer.Done)) }
        turn.put(group.copy(fence = fence.copy(settled = true, waiting = fence.waiting.clear())))
    }

    private fun affected(turn: Reduction, group: GroupView): List<Session> =
        group.record?.let { turn.sessionsAt(group.name, it.primary) }.orEmpty()

    private fun holdsFence(session: Session, planned: Boolean): Boolean {
        val running = session.running
        val pending = session.pending
        val commits = pending?.commits == true && running?.wrote == true
        val writes = running == null && pending?.access == Access.WRITE
        return pending?.phase is Phase.Sent && (commits || writes) || planned && running != null
    }

    // A transaction whose commit was sent ends with the answer to it.
    private fun endTransaction(turn: Reduction, session: Session) {
        val running = session.running ?: return
        if (running.begun.readOnly) return
        if (session.pending == null) {
            StatementDeadlines.endTransaction(turn, session, running, "the primary is being replaced")
        }
    }
}
