package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.Consistency
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.HeadSample
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Which server leads a group, and how fresh a read has to be. */
internal object PrimaryStatus {
    private const val NO_MARGIN = 0L

    /** Bounds the memory of a group; an older sample would only let more replicas serve a read. */
    private const val KEPT_HEADS = 64

    /** The primary, if it may be used now: the record is stable, not fenced, and the lease holds. */
    fun usable(turn: Reduction, group: GroupView, margin: Millis = Millis(NO_MARGIN)): ServerName? {
        val record = group.record ?: return null
        val fenced = record.changedBy != null || (group.fence?.epoch ?: 0) > record.epoch
        return record.primary.takeIf { !fenced && leaseHolds(turn, margin) && it in turn.state.servers }
    }

    /** Whether no change of primary can have been completed without this proxy's consent. */
    fun leaseHolds(turn: Reduction, margin: Millis = Millis(NO_MARGIN)): Boolean {
        val from = turn.state.fleet.leaseFrom ?: return false
        return turn.now + margin < from + turn.settings.leases.duration
    }

    /** Whether a change of the group's primary is under way. */
    fun changing(group: GroupView): Boolean =
        group.change != null ||
            group.record?.changedBy != null ||
            (group.fence?.epoch ?: 0) > (group.record?.epoch ?: 0)

    /** Records that the primary's log ended at or after [position] when it answered something sent at [sentAt]. */
    fun sampled(turn: Reduction, name: GroupName, sentAt: MonotonicTime, position: Position) {
        val group = turn.group(name)
        val latest = group.heads.lastOrNull()
        if (latest != null && latest.sentAt >= sentAt) return
        val head = HeadSample(sentAt, position)
        val heads = group.heads.add(head)
        val known = DepartedReplicas.sampled(group, head)
        turn.put(known.copy(heads = if (heads.size > KEPT_HEADS) heads.removeAt(0) else heads))
    }

    /**
     * The position that a server must have applied so that a read at it is fresh enough; null if that is not known.
     * The oldest sample that satisfies the bound is taken, because the most replicas have reached it.
     */
    fun minimumPosition(turn: Reduction, session: Session, pending: PendingStatement): Position? {
        val from = (session.transaction as? Transaction.Begun)?.begunAt ?: pending.arrivedAt
        val name = pending.route.group
        return when (val consistency = pending.route.consistency) {
            Consistency.Primary -> null
            is Consistency.BoundedStaleness -> headAt(turn, name, from - consistency.maximumAge)
            is Consistency.ReadYourWrites -> {
                val own = session.lastCommit?.takeIf { it.group == name }?.position
                headAt(turn, name, from - consistency.maximumAge)?.let { maxOf(it, own ?: it) }
            }
        }
    }

    private fun headAt(turn: Reduction, name: GroupName, time: MonotonicTime): Position? =
        turn.group(name).heads.firstOrNull { it.sentAt >= time }?.position
}
