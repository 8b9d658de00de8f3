package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose

/** Checks each group periodically: its initial record, head position, fence and primary. */
internal object GroupMonitoring {
    /** Runs the checks of all groups that are configured or known and of which this proxy is a home. */
    fun review(reduction: Reduction) {
        HomeAssignment.review(reduction)
        val configured = reduction.state.configuration?.groups?.keys.orEmpty()
        if (reduction.state.serving) ConnectionPools.warmUp(reduction)
        ConnectionPools.evictIdle(reduction)
        TenantPools.review(reduction)
        for (name in configured + reduction.state.groups.keys) {
            val group = reduction.group(name)
            when {
                !GroupHomes.isHome(reduction, name) -> checkAsOther(reduction, group)
                group.record == null -> discoverPrimary(reduction, group)
                else -> checkGroup(reduction, group)
            }
        }
    }

    /**
     * Handles a status answer from a server of a group without a record: a server that reports the primary role is
     * recorded as the initial primary. Returns whether the answer was handled here.
     */
    fun initialStatusAnswered(reduction: Reduction, event: SessionEvent.ControlAnswered): Boolean {
        val server = reduction.state.server(event.server)
        val status = event.status
        if (server == null || reduction.group(server.group).record != null) return false
        if (status?.role == ServerRole.PRIMARY && reduction.state.fleet.readAt != null) {
            val record =
                FleetRecord.Group(
                    group = server.group.value,
                    epoch = StoreEras.nextEpoch(reduction, epoch = 0),
                    term = status.term,
                    primary = server.name,
                    era = StoreEras.current(reduction),
                )
            val required = CommitRequirements.addTo(reduction, reduction.group(server.group), record)
            reduction.log(
                "recording initial primary",
                "group" to server.group,
                "primary" to server.name,
                "term" to status.term,
            )
            reduction.emit(SessionEffect.WriteFleet(FleetKey.group(server.group), required, expectedRevision = null))
        }
        return true
    }

    private fun discoverPrimary(reduction: Reduction, group: GroupView) {
        val rank = ProxyRanking.ownRank(reduction, group.name)
        val askedAt = group.statusAskedAt
        when {
            rank == null || reduction.state.fleet.readAt == null -> Unit
            !GroupRecordRepair.mayRecordFirst(reduction) -> Unit
            // The proxy of rank 0 acts at once; the others act only if those that rank before them have not.
            askedAt == null && rank > 0 -> {
                val delay = reduction.settings.changes.rankDelay * rank
                reduction.put(group.copy(statusAskedAt = reduction.now + delay))
            }
            askedAt == null || reduction.now - askedAt >= reduction.settings.changes.retryPause ->
                requestStatus(reduction, group)
        }
    }

    private fun requestStatus(reduction: Reduction, group: GroupView) {
        val primary = reduction.servers(group.name).find { it.role == ServerRole.PRIMARY } ?: return
        reduction.put(group.copy(statusAskedAt = reduction.now))
        reduction.emit(SessionEffect.SendControl(primary, ControlRequest.Status))
    }

    // A proxy that stopped being a home still confirms fences and completes the change of primary that it began.
    private fun checkAsOther(reduction: Reduction, group: GroupView) {
        PrimaryFencing.settle(reduction, group.name)
        val changesPrimary = group.record?.changedBy == reduction.state.self.identity
        if (changesPrimary) PrimaryChanges.advance(reduction, group.name)
    }

    private fun checkGroup(reduction: Reduction, group: GroupView) {
        GroupRecordRepair.review(reduction, group)
        Sightings.review(reduction, reduction.group(group.name))
        probe(reduction, group)
        probeSilent(reduction, group)
        StepDownRequests.review(reduction, group)
        PrimaryFencing.settle(reduction, group.name)
        PrimaryFailureDetection.review(reduction, group.name)
        PrimaryChanges.advance(reduction, group.name)
        CommitRequirements.review(reduction, reduction.group(group.name))
    }

    // A recent head position allows replicas to serve reads with bounded staleness, and shows that the primary answers.
    private fun probe(reduction: Reduction, group: GroupView) {
        val primary = PrimaryStatus.usablePrimary(reduction, group) ?: return
        val age = group.heads.lastOrNull()?.let { reduction.now - it.sentAt } ?: Millis(Long.MAX_VALUE)
        if (age < reduction.settings.changes.probePeriod) return
        if (PositionSharing.isProber(reduction, group.name) || !PositionSharing.request(reduction, group, age)) {
            sendProbe(reduction, primary)
        }
    }

    // With tenants no connection is opened in advance, so nothing else would show that a silent server answers again.
    private fun probeSilent(reduction: Reduction, group: GroupView) {
        if (!TenantPools.apply(reduction)) return
        reduction
            .servers(group.name)
            .filter { !it.leaving && ServerHealthTracking.isProbeDue(reduction, it.name) }
            .forEach { server ->
                reduction.updateHealth(server.name) { it.copy(probedAt = reduction.now) }
                reduction.emit(SessionEffect.SendControl(server, ControlRequest.Status))
            }
    }

    /** Asks [primary] for its status on an idle connection, or opens one, unless a probe is unanswered. */
    fun sendProbe(reduction: Reduction, primary: ServerName) {
        val connections = ConnectionPools.connections(reduction, primary)
        val hasTenants = TenantPools.apply(reduction)
        val probing = connections.any { connection -> connection.outstanding.any { it.purpose == Purpose.PROBE } }
        val idle = if (hasTenants) TenantPools.longestIdle(connections).lastOrNull() else connections.find { it.idle }
        when {
            probing -> Unit
            idle != null -> ConnectionCheckout.send(reduction, idle, listOf(Purpose.PROBE to ServerStatement.Status))
            connections.all { it.open } -> open(reduction, primary)
        }
    }

    private fun open(reduction: Reduction, primary: ServerName) {
        val server = reduction.state.server(primary) ?: return
        val tenant = if (TenantPools.apply(reduction)) TenantHomes.largestTenant(reduction, server.group) else null
        if (tenant != null || TenantPools.allowsWarmUp(reduction, server.group)) {
            ConnectionPools.open(reduction, server, tenant)
        }
    }
}

/** Ranks the homes of a group, so that usually only one of them acts for it. */
internal object ProxyRanking {
    /** The peer endpoints of the other homes of [group] that are not leaving, by rank. */
    fun others(reduction: Reduction, group: GroupName): List<Endpoint> =
        ranked(group, GroupHomes.others(reduction, group)).map { it.peerEndpoint }

    /** The number of homes that rank before this one for [group]; null if this proxy is none or is leaving. */
    fun ownRank(reduction: Reduction, group: GroupName): Int? {
        val own = GroupHomes.ownRecord(reduction)?.takeIf { it.isHomeOf(group) } ?: return null
        return ranked(group, GroupHomes.others(reduction, group) + own).indexOf(own).takeIf { it >= 0 }
    }

    private fun ranked(group: GroupName, homes: List<FleetRecord.Proxy>): List<FleetRecord.Proxy> =
        homes.filter { !it.leaving }.sortedBy { (it.identity.node + group.value).hashCode() }
}
