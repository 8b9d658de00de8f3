package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.ChangeReason
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.Suspicion

/** Decides when a primary is replaced, from its own observations and the sightings that other proxies report. */
internal object PrimaryFailureDetection {
    /** Starts, continues or clears the suspicion of the primary of group [name]. */
    fun review(reduction: Reduction, name: GroupName) {
        val group = reduction.group(name)
        val record = group.record ?: return
        if (PrimaryStatus.isChanging(group) || !mayReplacePrimary(reduction, group)) return
        val reason = suspicionReason(reduction, group, record)
        when {
            reason == null -> if (group.suspicion != null) clearSuspicion(reduction, group)
            group.suspicion == null -> reduction.put(group.copy(suspicion = Suspicion(reduction.now, reason)))
            else -> pursueSuspicion(reduction, group, group.suspicion, record)
        }
    }

    /** Records a peer's answer on when the suspected primary last answered it. */
    fun sightingAnswered(reduction: Reduction, event: SessionEvent.PeerAnswered, request: PeerRequest.Sighting) {
        for (group in reduction.state.groups.values) {
            val suspicion = group.suspicion ?: continue
            if (group.record?.primary == request.server && event.peer in suspicion.asked) {
                val reports = suspicion.reports + (event.peer to event.outcome)
                reduction.put(group.copy(suspicion = suspicion.copy(reports = reports)))
            }
        }
    }

    private fun mayReplacePrimary(reduction: Reduction, group: GroupView): Boolean {
        val pauseOver = group.changeAfter?.let { reduction.now >= it } ?: true
        return pauseOver &&
            GroupRecordRepair.isRecorded(reduction, group) &&
            reduction.state.serversKnown &&
            PrimaryStatus.leaseIsValid(reduction) &&
            !reduction.state.fleet.storeLost &&
            reduction.state.stoppingSince == null
    }

    private fun clearSuspicion(reduction: Reduction, group: GroupView) {
        reduction.log("primary no longer suspected", "group" to group.name, "primary" to group.record?.primary)
        reduction.put(group.copy(suspicion = null))
    }

    private fun suspicionReason(reduction: Reduction, group: GroupView, record: FleetRecord.Group): ChangeReason? {
        val changes = reduction.settings.changes
        val health = reduction.health(record.primary)
        val server = reduction.state.server(record.primary)
        val silence = health.silentSince?.let { reduction.now - it } ?: Millis(0)
        val refusedAt = health.refusedAt
        val deposed = health.notPrimaryAt != null && server?.role == ServerRole.REPLICA
        val adopted = group.adoptedAt ?: reduction.now
        return when {
            server == null && reduction.now - adopted > changes.suspicionTimeout -> ChangeReason.UNREGISTERED
            refusedAt != null && silence > changes.refusedSuspicionTimeout -> ChangeReason.REFUSING
            silence > changes.suspicionTimeout -> ChangeReason.SILENT
            deposed -> ChangeReason.DEPOSED
            StepDownRequests.laterPrimaries(reduction, record).isNotEmpty() -> ChangeReason.SUPERSEDED
            server?.leaving == true -> ChangeReason.LEAVING
            else -> null
        }
    }

    private fun pursueSuspicion(
        reduction: Reduction,
        group: GroupView,
        suspicion: Suspicion,
        record: FleetRecord.Group,
    ) {
        val rank = ProxyRanking.ownRank(reduction, group.name) ?: return
        val begin = if (suspicion.reason.planned) plannedBegin(reduction, suspicion, record) else suspicion.since
        val due = begin + reduction.settings.changes.rankDelay * rank
        when {
            reduction.now < due -> Unit
            !suspicion.reason.needsSightings -> PrimaryChanges.begin(reduction, group.name, suspicion.reason)
            suspicion.askedAt == null -> requestSightings(reduction, group, suspicion, record)
            isComplete(reduction, suspicion) -> decide(reduction, group, suspicion)
        }
    }

    // The primary serves while no successor may be promoted, but not up to its end.
    private fun plannedBegin(reduction: Reduction, suspicion: Suspicion, record: FleetRecord.Group): MonotonicTime {
        val leavingSince = reduction.state.servers[record.primary]?.leavingSince
        if (leavingSince == null || StoreEras.isSettled(reduction)) return suspicion.since
        return maxOf(suspicion.since, leavingSince + reduction.settings.changes.plannedChangeDelay)
    }

    private fun requestSightings(
        reduction: Reduction,
        group: GroupView,
        suspicion: Suspicion,
        record: FleetRecord.Group,
    ) {
        val peers = GroupHomes.otherEndpoints(reduction, group.name)
        reduction.log(
            "primary suspected",
            "group" to group.name,
            "primary" to record.primary,
            "reason" to suspicion.reason.description
        )
        reduction.put(group.copy(suspicion = suspicion.copy(askedAt = reduction.now, asked = peers)))
        peers.forEach { reduction.emit(SessionEffect.AskPeer(it, PeerRequest.Sighting(record.primary))) }
    }

    private fun isComplete(reduction: Reduction, suspicion: Suspicion): Boolean {
        val askedAt = suspicion.askedAt ?: return false
        return suspicion.reports.keys.containsAll(suspicion.asked) ||
            reduction.now - askedAt > reduction.settings.changes.sightingTimeout
    }

    // Proxies that do not answer, or refuse the connection, may still reach the primary and use it until their leases
    // expire. The primary is replaced earlier only if a majority of the homes is known not to reach it.
    private fun decide(reduction: Reduction, group: GroupView, suspicion: Suspicion) {
        val outcomes = suspicion.reports.values
        val answers = outcomes.mapNotNull { (it as? PeerOutcome.Answered)?.answer as? PeerAnswer.Seen }
        val maxAge = reduction.settings.changes.sightingMaxAge.value
        val reached = answers.count { sighting -> sighting.ageMillis?.let { it < maxAge } ?: false }
        val notReached = answers.size - reached + 1
        val homes = suspicion.asked.size + 1
        val leasesExpired = reduction.now - suspicion.since > reduction.settings.leases.duration
        val replaces = notReached * 2 > homes || leasesExpired && notReached > reached
        reduction.log(
            "primary sightings",
            "group" to group.name,
            "reached" to reached,
            "notReached" to notReached,
            "homes" to homes,
            "replaces" to replaces,
        )
        if (replaces) {
            PrimaryChanges.begin(reduction, group.name, suspicion.reason)
        } else {
            val restarted = suspicion.copy(askedAt = null, asked = emptySet(), reports = emptyMap())
            reduction.put(
                group.copy(
                    suspicion = restarted,
                    changeAfter = reduction.now + reduction.settings.changes.retryPause,
                ),
            )
        }
    }
}
