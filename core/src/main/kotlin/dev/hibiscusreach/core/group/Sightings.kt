package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.RendezvousHash
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Reports to another monitor whether this process reaches the primary. */
internal fun GroupsStepBuilder.reportSighting(from: NodeIdentity, request: PeerMessage.SightingRequested) {
    val groupState = group(request.database) ?: return
    if (groupState.term > request.term && groupState.primary != null) {
        sendToPeer(from, PeerMessage.GroupAnnounced(groupState.name, groupState.term, groupState.primary))
    }
    // Observations of the primary of an earlier term say nothing about the primary of the requested term.
    val seen = groupState.term >= request.term && groupState.seesPrimary(now)
    sendToPeer(from, PeerMessage.SightingReported(groupState.name, request.term, seen))
}

/** Adds another monitor's report and decides on the failover as soon as the reports allow it. */
internal fun GroupsStepBuilder.handleSighting(from: NodeIdentity, report: PeerMessage.SightingReported) {
    val groupState = group(report.database)?.takeIf { it.term == report.term } ?: return
    when (val failover = groupState.failover) {
        is FailoverState.CollectingSightings -> {
            val reports = failover.reports.put(from, report.seen)
            setFailover(groupState.name, failover.copy(reports = reports))
            if (isDecided(failover.asked, reports)) evaluateSightings(groupState.name, reports)
        }
        is FailoverState.DelayingProposal -> {
            val reports = failover.reports.put(from, report.seen)
            if (majorityMissesPrimary(reports)) {
                setFailover(groupState.name, failover.copy(reports = reports))
            } else {
                backOff(groupState.name)
            }
        }
        else -> Unit
    }
}

/** Proposes if most monitors do not reach the primary, after a delay that lets proposers of a lower rank go first. */
internal fun GroupsStepBuilder.evaluateSightings(
    database: DatabaseName,
    reports: PersistentMap<NodeIdentity, Boolean>,
) {
    val groupState = group(database) ?: return
    val rank = ownRank(groupState, reports)
    when {
        !majorityMissesPrimary(reports) || !groupState.mayPropose(now) -> backOff(database)
        rank == 0 -> readRecord(database)
        else -> {
            setFailover(database, FailoverState.DelayingProposal(reports))
            emit(Effect.StartTimer(TimerKey.FailoverStep(database), settings.proposerStagger * rank))
        }
    }
}

/** Proposes if a new primary is still needed after the wait for proposers of a lower rank. */
internal fun GroupsStepBuilder.proposeIfStillNeeded(database: DatabaseName) {
    val groupState = group(database) ?: return
    if (groupState.mayPropose(now)) readRecord(database) else backOff(database)
}

/** Asks the other monitors whether they reach the primary, which is the first step of a failover. */
internal fun GroupsStepBuilder.requestSightings(groupState: GroupState) {
    val asked = otherMonitors(groupState.group)
    setFailover(groupState.name, FailoverState.CollectingSightings(asked.toSet()))
    if (asked.isEmpty()) {
        evaluateSightings(groupState.name, persistentMapOf())
    } else {
        asked.forEach { sendToPeer(it, PeerMessage.SightingRequested(groupState.name, groupState.term)) }
        emit(Effect.StartTimer(TimerKey.FailoverStep(groupState.name), settings.sightingWait))
    }
}

// A monitor that is isolated together with the primary never answers; waiting for it would delay every such failover.
private fun isDecided(asked: Set<NodeIdentity>, reports: PersistentMap<NodeIdentity, Boolean>): Boolean =
    reports.keys.containsAll(asked) || countMissing(reports) > asked.size + 1 - countMissing(reports)

private fun majorityMissesPrimary(reports: PersistentMap<NodeIdentity, Boolean>): Boolean =
    countMissing(reports) > reports.values.count { it }

// Number of monitors that do not reach the primary, including this process.
private fun countMissing(reports: PersistentMap<NodeIdentity, Boolean>): Int = 1 + reports.values.count { !it }

// Only monitors that do not reach the primary propose, so only these are ranked.
private fun GroupsStepBuilder.ownRank(groupState: GroupState, reports: PersistentMap<NodeIdentity, Boolean>): Int {
    val proposers = reports.filterValues { !it }.keys + state.settings.self
    return RendezvousHash.rank(groupState.name.value, proposers) { it.peerEndpoint }.indexOf(state.settings.self)
}
