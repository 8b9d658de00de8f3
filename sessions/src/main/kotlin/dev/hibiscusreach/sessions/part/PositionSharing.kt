package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PositionReport
import dev.hibiscusreach.sessions.model.PositionRequest
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.OutstandingPositionRequest

/**
 * Shares the primary's log position among the homes of a group. Each probe takes a slot of the primary, so where a
 * group has many homes only those that rank first for changes of its primary send probes on schedule. The others ask
 * one of them, and probe the primary themselves if that brings no position. Builds without tenants close a link on
 * requests that they don't know, so nothing is asked unless the configuration has tenants.
 */
internal object PositionSharing {
    /** Whether this home sends its own probes for [group] on schedule. */
    fun isProber(reduction: Reduction, group: GroupName): Boolean {
        val settings = reduction.settings.homes
        val homes = GroupHomes.others(reduction, group).size + 1
        val rank = ProxyRanking.ownRank(reduction, group)
        val allProbe = !TenantPools.apply(reduction) || homes <= settings.homesThatAllProbe
        return allProbe || rank == null || rank < settings.probers
    }

    /**
     * Asks a prober for a position if the latest one is [age] old; returns false if this home has to probe the primary
     * itself, because the answers of probers do not keep the position recent.
     */
    fun request(reduction: Reduction, group: GroupView, age: Millis): Boolean {
        val isLate = age >= reduction.settings.changes.probePeriod * MISSED_PERIODS
        val prober = if (isLate) null else nearestProber(reduction, group.name)
        val askedAt = group.positionRequest?.askedAt
        val isDue = askedAt == null || reduction.now - askedAt >= reduction.settings.homes.positionRequestPause
        if (prober != null && isDue) send(reduction, group, prober)
        return prober != null
    }

    private fun send(reduction: Reduction, group: GroupView, prober: Endpoint) {
        val number = (group.positionRequest?.number ?: 0) + 1
        reduction.put(group.copy(positionRequest = OutstandingPositionRequest(number, prober, reduction.now)))
        reduction.emit(SessionEffect.RequestPosition(prober, PositionRequest(group.name, number)))
    }

    /** Answers a peer with the latest position; there is no answer if none is known. */
    fun requested(reduction: Reduction, event: SessionEvent.PositionRequested) {
        val group = reduction.state.groups[event.request.group]
        val record = group?.record?.takeIf { it.changedBy == null }
        val head = group?.heads?.lastOrNull()
        if (record == null || head == null) return
        val age = reduction.now - head.sentAt
        val report = PositionReport(group.name, event.request.number, record.epoch, head.position, age)
        reduction.emit(SessionEffect.ReportPosition(event.number, report))
    }

    /**
     * Records a reported position. The request was sent before the report, so the primary was asked no earlier than the
     * reported age before the request. A report by another record may lack commits of a later primary.
     */
    fun reported(reduction: Reduction, event: SessionEvent.PositionReported) {
        val report = event.report
        val group = reduction.state.groups[report.group]
        val request = group?.positionRequest?.takeIf { it.prober == event.peer && it.number == report.number }
        if (request == null || group.record?.epoch != report.epoch) return
        val sentAt = MonotonicTime((request.askedAt - report.age).millis)
        PrimaryStatus.recordHead(reduction, report.group, sentAt, report.position)
        StatementDispatch.serveWaiting(reduction, report.group)
    }

    private fun nearestProber(reduction: Reduction, group: GroupName): Endpoint? {
        val accepting = GroupHomes.accepting(reduction, group, excluded = emptySet())
        val probers = ProxyRanking.others(reduction, group).take(reduction.settings.homes.probers).toSet()
        return accepting.firstOrNull { it in probers }
    }

    /** Periods of probes after which a home that asks probers probes the primary itself. */
    private const val MISSED_PERIODS = 2
}
