package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Millis
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

/** Decides when a primary is to be replaced, together with what the other proxies see. */
internal object PrimaryFailureDetection {
    fun review(turn: Reduction, name: GroupName) {
        val group = turn.group(name)
        val record = group.record ?: return
        if (PrimaryStatus.changing(group) || !mayAct(turn, group)) return
        val reason = reason(turn, group, record)
        when {
            reason == null -> if (group.suspicion != null) clear(turn, group)
            group.suspicion == null -> turn.put(group.copy(suspicion = Suspicion(turn.now, reason)))
            else -> pursue(turn, group, group.suspicion, record)
        }
    }

    fun reported(turn: Reduction, event: SessionEvent.PeerAnswered, request: PeerRequest.Sighting) {
        for (group in turn.state.groups.values) {
            val suspicion = group.suspicion ?: continue
            if (group.record?.primary == request.server && event.peer in suspicion.asked) {
                val reports = suspicion.reports + (event.peer to event.outcome)
                turn.put(group.copy(suspicion = suspicion.copy(reports = reports)))
            }
        }
    }

    private fun mayAct(turn: Reduction, group: GroupView): Boolean {
        val settled = group.changeAfter?.let { turn.now >= it } ?: true
        return settled &&
            PrimaryStatus.leaseHolds(turn) &&
            !turn.state.fleet.storeLost &&
            turn.state.stoppingSince == null
    }

    private fun clear(turn: Reduction, group: GroupView) {
        turn.log("primary no longer suspected", "group" to group.name, "primary" to group.record?.primary)
        turn.put(group.copy(suspicion = null))
    }

    private fun reason(turn: Reduction, group: GroupView, record: FleetRecord.Group): ChangeReason? {
        val changes = turn.settings.changes
        val health = turn.health(record.primary)
        val server = turn.state.server(record.primary)
        val silence = health.silentSince?.let { turn.now - it } ?: Millis(0)
        val refusedAt = health.refusedAt
        val deposed = health.notPrimaryAt != null && server?.role == ServerRole.REPLICA
        val adopted = group.adoptedAt ?: turn.now
        return when {
            server == null && turn.now - adopted > changes.suspicionTimeout -> ChangeReason.UNREGISTERED
            refusedAt != null && silence > changes.refusedSuspicionTimeout -> ChangeReason.REFUSING
            silence > changes.suspicionTimeout -> ChangeReason.SILENT
            deposed -> ChangeReason.DEPOSED
            server?.leaving == true -> ChangeReason.LEAVING
            else -> null
        }
    }

    private fun pursue(
        turn: Reduction,
        group: GroupView,
        suspicion: Suspicion,
        record: FleetRecord.Group,
    ) {
        val rank = ProxyRanking.own(turn, group.name) ?: return
        val due = suspicion.since + turn.settings.changes.rankDelay * rank
        when {
            turn.now < due -> Unit
            !suspicion.reason.needsSightings -> PrimaryChanges.begin(turn, group.name, suspicion.reason)
            suspicion.askedAt == null -> ask(turn, group, suspicion, record)
            isComplete(turn, suspicion) -> decide(turn, group, suspicion)
        }
    }

    private fun ask(turn: Reduction, group: GroupView, suspicion: Suspicion, record: FleetRecord.Group) {
        val peers = PeerMonitoring.peers(turn)
        turn.log(
            "primary suspected",
            "group" to group.name,
            "primary" to record.primary,
            "reason" to suspicion.reason.description
        )
        turn.put(group.copy(suspicion = suspicion.copy(askedAt = turn.now, asked = peers)))
        peers.forEach { turn.emit(SessionEffect.AskPeer(it, PeerRequest.Sighting(record.primary))) }
    }

    private fun isComplete(turn: Reduction, suspicion: Suspicion): Boolean {
        val askedAt = suspicion.askedAt ?: return false
        return suspicion.reports.keys.containsAll(suspicion.asked) ||
            turn.now - askedAt > turn.settings.changes.sightingTimeout
    }

    // Proxies that do not answer may reach the primary and keep it in use until their leases end. A primary is replaced
    // earlier only if most of the proxies are known not to reach it.
    private fun decide(turn: Reduction, group: GroupView, suspicion: Suspicion) {
        val outcomes = suspicion.reports.values
        val answers = outcomes.mapNotNull { (it as? PeerOutcome.Answered)?.answer as? PeerAnswer.Seen }
        val recent = turn.settings.changes.sightingMaxAge.value
        val seen = answers.count { seen -> seen.ageMillis?.let { it < recent } ?: false }
        val unseen = answers.size - seen + 1
        val running = suspicion.asked.size - outcomes.count { it is PeerOutcome.NotRunning } + 1
        val leasesOver = turn.now - suspicion.since > turn.settings.leases.duration
        val replaces = unseen * 2 > running || leasesOver && unseen > seen
        turn.log(
            "primary sightings",
            "group" to group.name,
            "reached" to seen,
            "notReached" to unseen,
            "running" to running,
            "replaces" to replaces,
        )
        if (replaces) {
            PrimaryChanges.begin(turn, group.name, suspicion.reason)
        } else {
            val again = suspicion.copy(askedAt = null, asked = emptySet(), reports = emptyMap())
            turn.put(group.copy(suspicion = again, changeAfter = turn.now + turn.settings.changes.retryPause))
        }
    }
}
