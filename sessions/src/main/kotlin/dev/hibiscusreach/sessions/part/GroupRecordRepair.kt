package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.state.ChangeReason
import dev.hibiscusreach.sessions.state.GroupView

/**
 * Brings the group records of a restored store up to date. A proxy that knew a group's record before writes it back. If
 * no proxy does so, the record may be older than the latest change of primary; the servers are asked who leads.
 */
internal object GroupRecordRepair {
    /** Whether the known record was written to the store in the current era. */
    fun isRecorded(reduction: Reduction, group: GroupView): Boolean =
        group.record?.let { it.era >= StoreEras.current(reduction) } ?: false

    /** Whether a group without a record may get its first one; its lost record may still be written back. */
    fun mayRecordFirst(reduction: Reduction): Boolean = StoreEras.isSettled(reduction) || isGraceOver(reduction)

    /** Writes the record of [group] back, or begins a change that finds out who leads. */
    fun review(reduction: Reduction, group: GroupView) {
        val rank = ProxyRanking.ownRank(reduction, group.name) ?: return
        val since = reduction.state.fleet.era?.since ?: return
        val isUnable = reduction.state.fleet.storeLost || reduction.state.stoppingSince != null
        val due = since + reduction.settings.changes.rankDelay * rank
        val grace = reduction.settings.changes.restorationGrace
        when {
            isUnable || group.change != null -> Unit
            isRecorded(reduction, group) -> if (hasOrphanedFence(reduction, group, since)) begin(reduction, group)
            group.verified -> if (reduction.now >= due) writeBack(reduction, group)
            reduction.now >= due + grace -> begin(reduction, group)
        }
    }

    private fun isGraceOver(reduction: Reduction): Boolean {
        val since = reduction.state.fleet.era?.since ?: return false
        return reduction.now >= since + reduction.settings.changes.restorationGrace
    }

    private fun writeBack(reduction: Reduction, group: GroupView) {
        val record = group.record ?: return
        val lastWrite = group.writtenBackAt
        if (lastWrite != null && reduction.now - lastWrite < reduction.settings.changes.retryPause) return
        val key = FleetKey.group(group.name)
        val stored = reduction.state.fleet.records[key]
        reduction.log(
            "group record written back",
            "group" to group.name,
            "epoch" to record.epoch,
            "primary" to record.primary,
            "changedBy" to record.changedBy?.node,
            "revision" to stored?.revision,
        )
        reduction.put(group.copy(writtenBackAt = reduction.now))
        val current = record.copy(era = StoreEras.current(reduction))
        reduction.emit(SessionEffect.WriteFleet(key, current, stored?.revision))
    }

    // The store has lost the change for which the primary was fenced, and no proxy that knows the change has written it
    // back. Its promotion may have been requested before, so the primary is not used before the servers are asked.
    private fun hasOrphanedFence(reduction: Reduction, group: GroupView, eraSince: MonotonicTime): Boolean {
        val stable = group.record?.takeIf { it.changedBy == null }
        val fence = group.fence?.takeIf { it.since <= eraSince }
        val isOrphaned = stable != null && fence != null && fence.epoch > stable.epoch
        return isOrphaned && StoreEras.isSettled(reduction)
    }

    private fun begin(reduction: Reduction, group: GroupView) {
        val pauseOver = group.changeAfter?.let { reduction.now >= it } ?: true
        if (pauseOver && PrimaryStatus.leaseIsValid(reduction)) {
            PrimaryChanges.begin(reduction, group.name, ChangeReason.RESTORED)
        }
    }
}
