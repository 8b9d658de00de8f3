package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.GroupView

/** Takes over the records of groups from the store and from peers. */
internal object GroupRecordAdoption {
    /** Takes a record over if it is newer than the one in force. */
    fun adopt(turn: Reduction, name: GroupName, record: FleetRecord.Group, revision: Long) {
        val group = turn.group(name)
        val known = group.record
        val newer =
            known == null || record.epoch > known.epoch ||
                record.epoch == known.epoch && known.changedBy != null && record.changedBy == null
        if (!newer) return
        turn.log(
            "group record",
            "group" to name,
            "epoch" to record.epoch,
            "term" to record.term,
            "primary" to record.primary,
            "changedBy" to record.changedBy?.node,
            "revision" to revision,
        )
        val taken = group.copy(record = record, revision = revision, adoptedAt = turn.now, suspicion = null)
        // A successor had proved its log before it was promoted.
        val replaced = known != null && known.term != record.term
        val adopted = if (replaced) taken.copy(departed = emptyMap(), departedFloor = null) else taken
        turn.put(adopted)
        if (record.changedBy == null) inOffice(turn, adopted, record) else changing(turn, adopted, record)
    }

    private fun inOffice(turn: Reduction, group: GroupView, record: FleetRecord.Group) {
        val fence = group.fence?.takeIf { it.epoch > record.epoch }
        turn.put(group.copy(fence = fence, change = null))
        // Peers that wait for a confirmation of an older fence need none any more.
        if (fence == null) PrimaryFencing.dropWaiting(turn, group)
        turn.updateHealth(record.primary) { it.copy(notPrimaryAt = null) }
        turn.count(SessionCounter.PRIMARY_CHANGES, "adopted")
        StatementDispatch.serveWaiting(turn, group.name)
    }

    private fun changing(turn: Reduction, group: GroupView, record: FleetRecord.Group) {
        val mine = record.changedBy == turn.state.self.identity
        if (!mine) turn.put(group.copy(change = null))
        PrimaryFencing.raise(turn, group.name, record.epoch, planned = false)
    }
}
