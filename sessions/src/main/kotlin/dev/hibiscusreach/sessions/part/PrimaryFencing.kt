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
 * Stops this proxy's use of a primary that is being replaced. A fence is settled once no write that was sent to the
 * primary is reported as successful any more. It is confirmed only then, so that no two primaries are in use at once.
 */
internal object PrimaryFencing {
    /** Handles a fence request; it is answered once the fence is settled or no longer needed. */
    fun handleFenceRequest(reduction: Reduction, number: PeerRequestNumber, request: PeerRequest.Fence) {
        val name = GroupName(request.group)
        val current = reduction.group(name).record
        if (current != null && current.changedBy == null && current.epoch >= request.epoch) {
            reduction.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Done))
            return
        }
        abandonChange(reduction, name, request.epoch)
        fencePrimary(reduction, name, request.epoch, request.planned)
        val group = reduction.group(name)
        group.fence?.let { reduction.put(group.copy(fence = it.copy(waiting = it.waiting.add(number)))) }
        settle(reduction, name)
    }

    // A proxy that fences for a later epoch has taken the change over, and may keep the primary.
    private fun abandonChange(reduction: Reduction, name: GroupName, epoch: Long) {
        val group = reduction.group(name)
        val change = group.change ?: return
        if (epoch <= (change.intent ?: group.record)?.epoch ?: 0) return
        reduction.log("primary change taken over", "group" to name, "phase" to change.phase.name, "epoch" to epoch)
        reduction.put(group.copy(change = null))
    }

    /** Stops the use of the primary that served before [epoch]. */
    fun fencePrimary(reduction: Reduction, name: GroupName, epoch: Long, planned: Boolean) {
        val group = reduction.group(name)
        val previous = group.fence
        if (previous != null && previous.epoch >= epoch) return
        reduction.log("primary fenced", "group" to name, "epoch" to epoch, "planned" to planned)
        val waiting = previous?.waiting ?: Fence(epoch, reduction.now, planned).waiting
        reduction.put(group.copy(fence = Fence(epoch, reduction.now, planned, waiting = waiting)))
        settle(reduction, name)
    }

    /** Settles and confirms a fence once no statement in flight delays it, or its grace period has ended. */
    fun settle(reduction: Reduction, name: GroupName) {
        val group = reduction.group(name)
        val fence = group.fence ?: return
        if (!fence.settled) {
            val grace =
                if (fence.planned) reduction.settings.changes.plannedGrace else reduction.settings.changes.failureGrace
            val sessions = sessionsOnPrimary(reduction, group)
            val graceOver = reduction.now - fence.since >= grace
            if (sessions.any { delaysFence(it, fence.planned) } && !graceOver) return
            sessions.forEach { endTransaction(reduction, it) }
        }
        confirm(reduction, name)
    }

    /** Confirms a fence that is no longer needed to the peers that wait for it. */
    fun answerWaiters(reduction: Reduction, group: GroupView) =
        group.fence
            ?.waiting
            .orEmpty()
            .forEach { reduction.emit(SessionEffect.AnswerPeer(it, PeerAnswer.Done)) }

    private fun confirm(reduction: Reduction, name: GroupName) {
        val group = reduction.group(name)
        val fence = group.fence ?: return
        if (!fence.settled) reduction.log("fence settled", "group" to name, "epoch" to fence.epoch)
        fence.waiting.forEach { reduction.emit(SessionEffect.AnswerPeer(it, PeerAnswer.Done)) }
        reduction.put(group.copy(fence = fence.copy(settled = true, waiting = fence.waiting.clear())))
    }

    private fun sessionsOnPrimary(reduction: Reduction, group: GroupView): List<Session> =
        group.record?.let { reduction.sessionsAt(group.name, it.primary) }.orEmpty()

    private fun delaysFence(session: Session, planned: Boolean): Boolean {
        val running = session.running
        val pending = session.pending
        val commits = pending?.commits == true && running?.wrote == true
        val writes = running == null && pending?.access == Access.WRITE
        return pending?.phase is Phase.Sent && (commits || writes) || planned && running != null
    }

    // A transaction whose commit has been sent ends with the answer to the commit.
    private fun endTransaction(reduction: Reduction, session: Session) {
        val running = session.running ?: return
        if (running.begun.readOnly) return
        if (session.pending == null) {
            StatementDeadlines.endTransaction(reduction, session, "the primary is being replaced")
        }
    }
}
