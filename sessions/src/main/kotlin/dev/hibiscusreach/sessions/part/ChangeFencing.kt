package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** The fence of a change of primary: no proxy uses the primary any more before a successor is chosen. */
internal object ChangeFencing {
    /** Asks all other proxies to stop using the primary. */
    fun start(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val epoch = group.record?.epoch ?: return
        val peers = PeerMonitoring.peers(turn)
        val fencing = change.copy(recordedAt = turn.now, unfenced = peers, asked = peers, membersRead = false)
        PrimaryChanges.enter(turn, group, fencing, ChangePhase.FENCING)
        PrimaryFencing.raise(turn, group.name, epoch, change.reason.planned)
        LeaseRenewal.read(turn)
        PrimaryChanges.review(turn, group.name)
    }

    /** Goes on once every proxy has confirmed, or the leases of those that have not are over. */
    fun review(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val settled = group.fence?.settled ?: true
        val recordedAt = change.recordedAt ?: turn.now
        val confirmed =
            change.membersRead && change.unfenced.isEmpty() && PeerMonitoring.expelledLeases(turn).value == 0L
        val leasesOver = turn.now > recordedAt + turn.settings.leases.duration
        when {
            settled && confirmed -> SuccessorPromotion.inspect(turn, group, change)
            settled && leasesOver -> {
                // A proxy whose lease has ended must register again before it may use primaries.
                ProxyExpulsion.expel(turn, change.unfenced)
                SuccessorPromotion.inspect(turn, group, change)
            }
            PrimaryChanges.isDue(turn, change) -> askForFence(turn, group, change)
        }
    }

    /**
     * Adds the proxies that a read shows which was sent after the intent was recorded. A proxy that is missing there
     * takes its lease later, and sees the intent then.
     */
    fun membersRead(turn: Reduction, sentAt: MonotonicTime) {
        for (group in turn.state.groups.values) {
            val change = group.change
            val recordedAt = change?.recordedAt
            val waits = change?.phase == ChangePhase.FENCING && !change.membersRead
            if (waits && recordedAt != null && sentAt >= recordedAt) {
                val added = PeerMonitoring.peers(turn) - change.asked
                val next = change.copy(membersRead = true, unfenced = change.unfenced + added, requestsSentAt = null)
                turn.put(group.copy(change = next))
            }
        }
    }

    /** Handles a peer's answer to a fence request. */
    fun fenced(turn: Reduction, event: SessionEvent.PeerAnswered, request: PeerRequest.Fence) {
        val group = turn.group(GroupName(request.group))
        val change = group.change ?: return
        val confirmed = event.outcome !is PeerOutcome.Silent
        if (confirmed && change.phase == ChangePhase.FENCING && group.record?.epoch == request.epoch) {
            val next = group.copy(change = change.copy(unfenced = change.unfenced - event.peer))
            turn.put(next)
            PrimaryChanges.review(turn, group.name)
        }
    }

    private fun askForFence(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val epoch = group.record?.epoch ?: return
        turn.put(group.copy(change = change.copy(requestsSentAt = turn.now)))
        val request = PeerRequest.Fence(group.name.value, epoch, change.reason.planned)
        change.unfenced.forEach { turn.emit(SessionEffect.AskPeer(it, request)) }
    }
}
