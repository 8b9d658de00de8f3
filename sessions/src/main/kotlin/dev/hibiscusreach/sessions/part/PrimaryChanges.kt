package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.ChangeReason
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * Carries out changes of primaries. The intent is recorded in the store first; then every proxy confirms that it has
 * stopped using the primary, or its lease ends; then the successor is chosen, promoted and recorded. A proxy that
 * continues a change of another one starts with an intent of its own, so that the earlier one stops.
 */
internal object PrimaryChanges {
    /** Records the intent to replace the group's primary. */
    fun begin(turn: Reduction, name: GroupName, reason: ChangeReason) {
        val group = turn.group(name)
        val record = group.record ?: return
        val next = record.copy(epoch = record.epoch + 1, changedBy = turn.state.self.identity)
        val intent = DepartedReplicas.required(turn, group, next)
        turn.log(
            "primary change begins",
            "group" to name,
            "primary" to record.primary,
            "reason" to reason.description,
            "epoch" to intent.epoch,
            "revision" to group.revision,
            "replicas" to intent.replicas.takeIf { it.isNotEmpty() },
            "floor" to intent.floor,
        )
        turn.count(SessionCounter.PRIMARY_CHANGES, "begun")
        val change = PrimaryChange(reason, ChangePhase.RECORDING, turn.now, intent)
        turn.put(group.copy(suspicion = null, change = change))
        turn.emit(SessionEffect.WriteFleet(FleetKey.group(name), intent, group.revision))
    }

    fun written(turn: Reduction, name: GroupName, outcome: WriteOutcome) {
        val group = turn.group(name)
        val change = group.change
        when {
            outcome !is WriteOutcome.Written -> LeaseRenewal.read(turn)
            change?.phase == ChangePhase.RECORDING -> recorded(turn, group, change, outcome.revision)
            change?.phase == ChangePhase.PUBLISHING -> published(turn, group, change, outcome.revision)
            // The first record of a group, or a write that an earlier change has left behind.
            else -> LeaseRenewal.read(turn)
        }
    }

    /** Advances the group's change, or continues one that another proxy has left. */
    fun review(turn: Reduction, name: GroupName) {
        val group = turn.group(name)
        val record = group.record ?: return
        val change = group.change
        when {
            change == null && record.changedBy == turn.state.self.identity -> resume(turn, group)
            change == null && record.changedBy != null -> ChangeTakeover.review(turn, group)
            change == null -> Unit
            change.phase == ChangePhase.RECORDING -> reviewRecording(turn, group, change)
            change.phase == ChangePhase.FENCING -> ChangeFencing.review(turn, group, change)
            else -> SuccessorPromotion.review(turn, group, change)
        }
    }

    /** Moves a change to [phase]. */
    fun enter(turn: Reduction, group: GroupView, change: PrimaryChange, phase: ChangePhase): GroupView {
        turn.log("primary change", "group" to group.name, "phase" to phase.name, "epoch" to group.record?.epoch)
        val next = group.copy(change = change.copy(phase = phase, phaseSince = turn.now, requestsSentAt = null))
        turn.put(next)
        return next
    }

    private fun recorded(turn: Reduction, group: GroupView, change: PrimaryChange, revision: Long) {
        val intent = change.intent ?: return
        turn.put(group.copy(record = intent, revision = revision, adoptedAt = turn.now))
        ChangeFencing.start(turn, turn.group(group.name), change)
    }

    private fun resume(turn: Reduction, group: GroupView) =
        ChangeFencing.start(turn, group, PrimaryChange(ChangeReason.ABANDONED, ChangePhase.RECORDING, turn.now))

    private fun reviewRecording(turn: Reduction, group: GroupView, change: PrimaryChange) {
        if (turn.now - change.phaseSince < turn.settings.changes.takeoverTimeout) return
        turn.put(group.copy(change = null, changeAfter = turn.now + turn.settings.changes.retryPause))
        LeaseRenewal.read(turn)
    }

    private fun published(turn: Reduction, group: GroupView, change: PrimaryChange, revision: Long) {
        val record = change.published ?: return
        GroupRecordAdoption.adopt(turn, group.name, record, revision)
        turn.count(SessionCounter.PRIMARY_CHANGES, "completed")
        val request = PeerRequest.Publish(record, revision)
        PeerMonitoring.peers(turn).forEach { turn.emit(SessionEffect.AskPeer(it, request)) }
        turn.put(turn.group(group.name).copy(changeAfter = turn.now + turn.settings.changes.retryPause))
    }

    /** Whether the requests of the present phase are to be repeated. */
    fun isDue(turn: Reduction, change: PrimaryChange): Boolean =
        change.requestsSentAt?.let { turn.now - it >= turn.settings.changes.requestPeriod } ?: true
}
