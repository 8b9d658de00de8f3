package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.RendezvousHash
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Tells another monitor whether this process sees the primary. */
internal fun GroupsTurn.reportSighting(from: NodeIdentity, request: PeerMessage.SightingRequested) {
    val known = group(request.database) ?: return
    if (known.term > request.term && known.primary != null) {
        send(from, PeerMessage.GroupAnnounced(known.name, known.term, known.primary))
    }
    // What is seen of an earlier term's primary says nothing of the asked one.
    val seen = known.term >= request.term && known.seesPrimary(now)
    send(from, PeerMessage.SightingReported(known.name, request.term, seen))
}

/** Takes in another monitor's answer. */
internal fun GroupsTurn.takeSighting(from: NodeIdentity, report: PeerMessage.SightingReported) {
    val known = group(report.database)?.takeIf { it.term == report.term } ?: return
    when (val failover = known.failover) {
        is FailoverState.CollectingSightings -> {
            val reports = failover.reports.put(from, report.seen)
            moveTo(known.name, failover.copy(reports = reports))
            if (isDecided(failover.asked, reports)) weighSightings(known.name, reports)
        }
        is FailoverState.AwaitingTurn -> {
            val reports = failover.reports.put(from, report.seen)
            if (isJustified(reports)) moveTo(known.name, failover.copy(reports = reports)) else pause(known.name)
        }
        else -> Unit
    }
}

/** Decides by the sightings whether to propose, and waits for the proposers of a lower rank. */
internal fun GroupsTurn.weighSightings(database: DatabaseName, reports: PersistentMap<NodeIdentity, Boolean>) {
    val known = group(database) ?: return
    val rank = ownRank(known, reports)
    when {
        !isJustified(reports) || !known.mayPropose(now) -> pause(database)
        rank == 0 -> readRecord(database)
        else -> {
            moveTo(database, FailoverState.AwaitingTurn(reports))
            emit(Effect.StartTimer(TimerKey.FailoverStep(database), settings.proposerStagger * rank))
        }
    }
}

/** Proposes if the primary is still missing after the wait for the proposers of a lower rank. */
internal fun GroupsTurn.takeTurn(database: DatabaseName) {
    val known = group(database) ?: return
    if (known.mayPropose(now)) readRecord(database) else pause(database)
}

internal fun GroupsTurn.collectSightings(known: GroupState) {
    val asked = otherMonitors(known.group)
    moveTo(known.name, FailoverState.CollectingSightings(asked.toSet()))
    if (asked.isEmpty()) {
        weighSightings(known.name, persistentMapOf())
    } else {
        asked.forEach { send(it, PeerMessage.SightingRequested(known.name, known.term)) }
        emit(Effect.StartTimer(TimerKey.FailoverStep(known.name), settings.sightingWait))
    }
}

// The monitor next to an isolated primary never answers; waiting for it would only prolong the failover gap.
private fun isDecided(asked: Set<NodeIdentity>, reports: PersistentMap<NodeIdentity, Boolean>): Boolean =
    reports.keys.containsAll(asked) || missing(reports) > asked.size + 1 - missing(reports)

private fun isJustified(reports: PersistentMap<NodeIdentity, Boolean>): Boolean =
    missing(reports) > reports.values.count { it }

// The monitors that miss the primary, this process included.
private fun missing(reports: PersistentMap<NodeIdentity, Boolean>): Int = 1 + reports.values.count { !it }

// Only monitors that miss the primary propose, so only these are ranked.
private fun GroupsTurn.ownRank(known: GroupState, reports: PersistentMap<NodeIdentity, Boolean>): Int {
    val proposers = reports.filterValues { !it }.keys + state.settings.self
    return RendezvousHash.rank(known.name.value, proposers) { it.peerEndpoint }.indexOf(state.settings.self)
}
