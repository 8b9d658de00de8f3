package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.ChangeReason
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * Replaces primaries. The proxy first records its intent in the store, then waits until every proxy has confirmed the
 * fence or its lease has expired, and then chooses, records, promotes and publishes the successor. A proxy that takes
 * over the change of another one records an intent of its own first, so that the other proxy stops.
 */
internal object PrimaryChanges {
    /** Starts a change of primary by writing the intent to the store. */
    fun begin(reduction: Reduction, name: GroupName, reason: ChangeReason) {
        val group = reduction.group(name)
        val record = group.record ?: return
        val next =
            record.copy(
                epoch = StoreEras.nextEpoch(reduction, record.epoch),
                changedBy = reduction.state.self.identity,
                era = StoreEras.current(reduction),
                successor = record.successor ?: StepDownRequests.laterPrimaries(reduction, record).firstOrNull(),
                afterRestoration = record.afterRestoration || reason == ChangeReason.RESTORED,
            )
        val intent = CommitRequirements.addTo(reduction, group, next)
        reduction.log(
            "primary change begins",
            "group" to name,
            "primary" to record.primary,
            "reason" to reason.description,
            "epoch" to intent.epoch,
            "revision" to group.revision,
            "replicas" to intent.replicas.takeIf { it.isNotEmpty() },
            "floor" to intent.floor,
        )
        reduction.count(SessionCounter.PRIMARY_CHANGES, "begun")
        val change = PrimaryChange(reason, ChangePhase.RECORDING, reduction.now, intent)
        reduction.put(group.copy(suspicion = null, change = change))
        reduction.emit(SessionEffect.WriteFleet(FleetKey.group(name), intent, group.revision))
    }

    /** Handles the outcome of a write of the group's record; one that the current phase hasn't sent changes nothing. */
    fun handleWriteOutcome(reduction: Reduction, name: GroupName, event: SessionEvent.FleetWritten) {
        val group = reduction.group(name)
        val change = group.change
        val outcome = event.outcome
        when {
            outcome !is WriteOutcome.Written -> LeaseRenewal.read(reduction)
            event.record != null && event.record != sentRecord(group) -> LeaseRenewal.read(reduction)
            change?.phase == ChangePhase.RECORDING -> startFencing(reduction, group, change, outcome.revision)
            change?.phase == ChangePhase.RECORDING_SUCCESSOR ->
                SuccessorRecording.handleWritten(reduction, group, change, outcome.revision)
            change?.phase == ChangePhase.PUBLISHING -> complete(reduction, group, change, outcome.revision)
            // The first record of a group, or a write of an earlier change.
            else -> LeaseRenewal.read(reduction)
        }
    }

    // The record that the current phase of a change writes.
    private fun sentRecord(group: GroupView): FleetRecord.Group? {
        val change = group.change ?: return null
        return when (change.phase) {
            ChangePhase.RECORDING -> change.intent
            ChangePhase.RECORDING_SUCCESSOR -> group.record?.copy(successor = change.successor)
            ChangePhase.PUBLISHING -> change.published
            else -> null
        }
    }

    /** Advances this proxy's change of the group, or checks the progress of another proxy's change. */
    fun advance(reduction: Reduction, name: GroupName) {
        val group = reduction.group(name)
        val record = group.record ?: return
        val change = group.change
        when {
            change == null && !GroupRecordRepair.isRecorded(reduction, group) -> Unit
            change == null && record.changedBy == reduction.state.self.identity -> resumeOwnChange(reduction, group)
            change == null && record.changedBy != null -> ChangeTakeover.checkProgress(reduction, group)
            change == null -> Unit
            change.phase == ChangePhase.RECORDING -> checkRecordingTimeout(reduction, group, change)
            change.phase == ChangePhase.FENCING -> ChangeFencing.advance(reduction, group, change)
            else -> SuccessorPromotion.advance(reduction, group, change)
        }
    }

    /** Moves a change to [phase] and returns the updated group. */
    fun enterPhase(reduction: Reduction, group: GroupView, change: PrimaryChange, phase: ChangePhase): GroupView {
        reduction.log("primary change", "group" to group.name, "phase" to phase.name, "epoch" to group.record?.epoch)
        val next = group.copy(change = change.copy(phase = phase, phaseSince = reduction.now, requestsSentAt = null))
        reduction.put(next)
        return next
    }

    private fun startFencing(reduction: Reduction, group: GroupView, change: PrimaryChange, revision: Revision) {
        val intent = change.intent ?: return
        reduction.put(group.copy(record = intent, revision = revision, adoptedAt = reduction.now, verified = true))
        ChangeFencing.start(reduction, reduction.group(group.name), change)
    }

    private fun resumeOwnChange(reduction: Reduction, group: GroupView) {
        // A fence of a later epoch belongs to a change that took this one over; its record is still to be read.
        val isTakenOver = (group.fence?.epoch ?: 0) > (group.record?.epoch ?: 0)
        val resumed = PrimaryChange(ChangeReason.ABANDONED, ChangePhase.RECORDING, reduction.now)
        if (!isTakenOver) ChangeFencing.start(reduction, group, resumed)
    }

    private fun checkRecordingTimeout(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        if (reduction.now - change.phaseSince < reduction.settings.changes.takeoverTimeout) return
        reduction.put(group.copy(change = null, changeAfter = reduction.now + reduction.settings.changes.retryPause))
        LeaseRenewal.read(reduction)
    }

    private fun complete(reduction: Reduction, group: GroupView, change: PrimaryChange, revision: Revision) {
        val record = change.published ?: return
        GroupRecordAdoption.adopt(reduction, group.name, record, revision)
        reduction.count(SessionCounter.PRIMARY_CHANGES, "completed")
        val request = PeerRequest.Publish(record, revision.number)
        GroupHomes.otherEndpoints(reduction, group.name).forEach { reduction.emit(SessionEffect.AskPeer(it, request)) }
        reduction.put(
            reduction.group(group.name).copy(changeAfter = reduction.now + reduction.settings.changes.retryPause),
        )
    }

    /** Whether the requests of the current phase have not been sent yet or must be repeated. */
    fun areRequestsDue(reduction: Reduction, change: PrimaryChange): Boolean =
        change.requestsSentAt?.let { reduction.now - it >= reduction.settings.changes.requestPeriod } ?: true
}
