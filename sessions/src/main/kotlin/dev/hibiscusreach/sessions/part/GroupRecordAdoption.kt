package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.state.GroupView

/** Adopts group records that were read from the store or published by peers. */
internal object GroupRecordAdoption {
    /**
     * Adopts [record] if it has a higher epoch than the known one, or the same epoch and completes its change or was
     * written back after a restoration of the store.
     */
    fun adopt(reduction: Reduction, name: GroupName, record: FleetRecord.Group, revision: Revision) {
        val group = reduction.group(name)
        val known = group.record
        val newer =
            known == null || record.epoch > known.epoch ||
                record.epoch == known.epoch &&
                (completesOrConfirms(known, record) || namesSuccessor(group, known, record, revision))
        if (!newer) {
            if (CommitRequirements.isUpdate(group, record, revision)) {
                CommitRequirements.adopt(reduction, group, record, revision)
            }
            return
        }
        reduction.log(
            "group record",
            "group" to name,
            "epoch" to record.epoch,
            "term" to record.term,
            "primary" to record.primary,
            "changedBy" to record.changedBy?.node,
            "successor" to record.successor,
            "replicas" to record.replicas.takeIf { it.isNotEmpty() },
            "floor" to record.floor,
            "revision" to revision,
        )
        val hasSamePrimary = known != null && known.primary == record.primary && known.term == record.term
        val current =
            group.copy(
                record = withKnownSuccessor(known, record),
                revision = revision,
                adoptedAt = reduction.now,
                primarySince = if (hasSamePrimary) group.primarySince else reduction.now,
                verified = record.era >= StoreEras.current(reduction),
                suspicion = null,
            )
        // The new primary was checked before its promotion to hold all commits that departed replicas may have held.
        val replaced = known != null && known.term != record.term
        val adopted = DepartedReplicas.applyRecord(
            group = if (replaced) DepartedReplicas.forget(current) else current,
            known = known,
            record = record,
        )
        reduction.put(adopted)
        if (record.changedBy == null) {
            adoptStable(reduction, adopted, record, completesChange = known?.changedBy != null)
        } else {
            adoptChanging(reduction, adopted, record)
        }
    }

    private fun completesOrConfirms(known: FleetRecord.Group, record: FleetRecord.Group): Boolean {
        val completes = known.changedBy != null && record.changedBy == null
        val reopens = known.changedBy == null && record.changedBy != null
        return completes || record.era > known.era && !reopens
    }

    private fun namesSuccessor(
        group: GroupView,
        known: FleetRecord.Group,
        record: FleetRecord.Group,
        revision: Revision,
    ): Boolean {
        val isSameChange = record.changedBy != null && record.changedBy == known.changedBy
        return isSameChange && record.successor != known.successor && revision > group.revision
    }

    // A restored store may lack the successor, whose promotion may have been requested all the same.
    private fun withKnownSuccessor(known: FleetRecord.Group?, record: FleetRecord.Group): FleetRecord.Group {
        val isSameChange = record.changedBy != null && record.epoch == known?.epoch
        return if (isSameChange) record.copy(successor = record.successor ?: known?.successor) else record
    }

    private fun adoptStable(
        reduction: Reduction,
        group: GroupView,
        record: FleetRecord.Group,
        completesChange: Boolean,
    ) {
        val fence = group.fence?.takeIf { it.epoch > record.epoch }
        // A record that was written back completes no change.
        val absent = if (completesChange) emptySet() else group.absent
        reduction.put(group.copy(fence = fence, change = null, absent = absent))
        // Peers that wait for the confirmation of an older fence no longer need it.
        if (fence == null) PrimaryFencing.answerWaiters(reduction, group)
        reduction.updateHealth(record.primary) { it.copy(notPrimaryAt = null) }
        reduction.count(SessionCounter.PRIMARY_CHANGES, "adopted")
        StatementDispatch.serveWaiting(reduction, group.name)
    }

    private fun adoptChanging(reduction: Reduction, group: GroupView, record: FleetRecord.Group) {
        val ownChange = record.changedBy == reduction.state.self.identity
        if (!ownChange) reduction.put(group.copy(change = null))
        PrimaryFencing.fencePrimary(reduction, group.name, record.epoch, planned = false)
    }
}
