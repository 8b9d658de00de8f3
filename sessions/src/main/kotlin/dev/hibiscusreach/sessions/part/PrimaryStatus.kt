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

/** Whether a group's primary may be used, and the log position that a read requires. */
internal object PrimaryStatus {
    private const val NO_MARGIN = 0L

    /** Limits the memory that a group needs. Older samples would only allow more replicas to serve a read. */
    private const val MAX_HEAD_SAMPLES = 64

    /**
     * The primary if it may be used now: this proxy is a home of the group, the record is the latest one, no change is
     * in progress, the primary is not fenced and not about to end, and the lease is valid.
     */
    fun usablePrimary(reduction: Reduction, group: GroupView, margin: Millis = Millis(NO_MARGIN)): ServerName? {
        val record = group.record ?: return null
        val fenced = record.changedBy != null || (group.fence?.epoch ?: 0) > record.epoch
        val isHome = group.verified && GroupHomes.isHome(reduction, group.name)
        val allowed = isHome && !fenced && leaseIsValid(reduction, margin)
        return record.primary.takeIf { allowed && mayGetWork(reduction, it) }
    }

    private fun mayGetWork(reduction: Reduction, name: ServerName): Boolean {
        val server = reduction.state.servers[name] ?: return false
        val limit = reduction.settings.connections.leavingWorkLimit
        return server.leavingSince?.let { reduction.now - it < limit } ?: true
    }

    /** Whether this proxy's lease is valid, so that no primary change can have completed without its confirmation. */
    fun leaseIsValid(reduction: Reduction, margin: Millis = Millis(NO_MARGIN)): Boolean {
        val from = reduction.state.fleet.leaseFrom ?: return false
        return reduction.now + margin < from + reduction.settings.leases.duration
    }

    /** Whether this proxy's lease has been valid without interruption since [time]. */
    fun leaseIsValidSince(reduction: Reduction, time: MonotonicTime): Boolean {
        val since = reduction.state.fleet.leaseValidSince ?: return false
        return leaseIsValid(reduction) && since <= time
    }

    /** Whether a change of the group's primary is in progress. */
    fun isChanging(group: GroupView): Boolean =
        group.change != null ||
            group.record?.changedBy != null ||
            (group.fence?.epoch ?: 0) > (group.record?.epoch ?: 0)

    /** Records that the primary's log had reached [position] when it answered a statement sent at [sentAt]. */
    fun recordHead(reduction: Reduction, name: GroupName, sentAt: MonotonicTime, position: Position) {
        val group = reduction.group(name)
        val latest = group.heads.lastOrNull()
        // A log of a later term belongs to a server that was replaced, and may lack commits.
        val isReplaced = group.record?.let { position.term > it.term } ?: false
        if (isReplaced || latest != null && latest.sentAt >= sentAt) return
        val head = HeadSample(sentAt, position)
        val heads = group.heads.add(head)
        val updated = DepartedReplicas.applyHeadSample(reduction, group, head)
        reduction.put(updated.copy(heads = if (heads.size > MAX_HEAD_SAMPLES) heads.removeAt(0) else heads))
    }

    /**
     * The position that a server must have applied to serve the read; null if it is unknown or the read needs the
     * primary. The oldest sample that satisfies the staleness bound is used, since the most replicas have reached it.
     */
    fun minimumPosition(reduction: Reduction, session: Session, pending: PendingStatement): Position? {
        val from = (session.transaction as? Transaction.Begun)?.begunAt ?: pending.arrivedAt
        val name = pending.route.group
        return when (val consistency = pending.route.consistency) {
            Consistency.Primary -> null
            is Consistency.BoundedStaleness -> headAt(reduction, name, from - consistency.maximumAge)
            is Consistency.ReadYourWrites -> {
                val ownCommit = session.lastCommit?.takeIf { it.group == name }?.position
                headAt(reduction, name, from - consistency.maximumAge)?.let { maxOf(it, ownCommit ?: it) }
            }
        }
    }

    private fun headAt(reduction: Reduction, name: GroupName, time: MonotonicTime): Position? =
        reduction.group(name).heads.firstOrNull { it.sentAt >= time }?.position
}
