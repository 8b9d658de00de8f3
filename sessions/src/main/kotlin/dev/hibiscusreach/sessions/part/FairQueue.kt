package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.tenant.FairSchedule
import dev.hibiscusreach.sessions.tenant.TenantName

/**
 * The turns of tenants at the connections of a group. Within a tenant, statements that can still meet their latency
 * objective come before those that cannot, which would otherwise delay them past it; both keep the order of their
 * urgency.
 */
internal object FairQueue {
    /** The waiting statements of [group] in the order in which they should be served. */
    fun ordered(reduction: Reduction, group: GroupName): List<SessionNumber> {
        val queue = reduction.state.waiting[group].orEmpty()
        val usual = UsualDurations(reduction, group)
        val queues =
            queue
                .map { it to urgency(reduction, it, usual) }
                .sortedBy { it.second }
                .map { it.first }
                .groupBy { reduction.session(it)?.pending?.tenant }
        return schedule(reduction, group).order(queues) { weight(reduction, it) }
    }

    /** Takes the turn of [tenant], one of whose statements has got a connection. */
    fun served(reduction: Reduction, group: GroupName, tenant: TenantName?) {
        val next = schedule(reduction, group).served(tenant, weight(reduction, tenant))
        reduction.state = reduction.state.copy(schedules = reduction.state.schedules.put(group, next))
    }

    /**
     * The number of waiting statements that are served before [pending] and need the same connections. Late statements
     * of its tenant count as well, which bounds what waits of a tenant whose load exceeds what it gets.
     */
    fun ahead(reduction: Reduction, session: Session, pending: PendingStatement): Int {
        val group = pending.route.group
        val waiting = WaitingTenants(reduction, group)
        val needsPrimary = ServerSelection.needsPrimary(session, pending)
        val hasPrimary = PrimaryStatus.usablePrimary(reduction, reduction.group(group)) != null
        val rivals = if (needsPrimary) waiting.needingPrimary else waiting.at(primary = hasPrimary)
        val order = StatementDispatch.dispatchOrder(reduction, session.number)
        val own =
            ownRivals(reduction, session, pending).count { StatementDispatch.dispatchOrder(reduction, it) <= order }
        return schedule(reduction, group).ahead(pending.tenant, own, rivals) { weight(reduction, it) }
    }

    /** Whether statements of the same tenant that need the same connections wait and can't meet their objective. */
    fun hasLate(reduction: Reduction, session: Session, pending: PendingStatement): Boolean {
        val usual = UsualDurations(reduction, pending.route.group)
        return ownRivals(reduction, session, pending).any { urgency(reduction, it, usual).isLate }
    }

    private fun ownRivals(reduction: Reduction, session: Session, pending: PendingStatement): List<SessionNumber> {
        val needsPrimary = ServerSelection.needsPrimary(session, pending)
        return reduction.state.waiting[pending.route.group].orEmpty().filter { number ->
            val other = reduction.session(number)
            val waiting = other?.pending
            number != session.number &&
                waiting?.phase is Phase.Waiting &&
                waiting.tenant == pending.tenant &&
                ServerSelection.needsPrimary(other, waiting) == needsPrimary
        }
    }

    private fun urgency(reduction: Reduction, number: SessionNumber, usual: UsualDurations): Urgency {
        val pending = reduction.session(number)?.pending
        val isLate = pending != null && reduction.now > ConnectionWait.objectiveDeadline(reduction, pending, usual)
        return Urgency(isLate, StatementDispatch.dispatchOrder(reduction, number))
    }

    private fun schedule(reduction: Reduction, group: GroupName) =
        reduction.state.schedules[group] ?: FairSchedule()

    private fun weight(reduction: Reduction, tenant: TenantName?): Double =
        reduction.state.configuration?.tenants?.weights?.weight(tenant) ?: 1.0

    // Sorts the most urgent statements first.
    private data class Urgency(val isLate: Boolean, val order: Long) : Comparable<Urgency> {
        override fun compareTo(other: Urgency): Int = compareValuesBy(this, other, { it.isLate }, { it.order })
    }
}
