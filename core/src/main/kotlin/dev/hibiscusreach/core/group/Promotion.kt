package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.GroupRecord
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ServerName

/** Takes in the answer to a Promote command. */
internal fun GroupsTurn.promoteAnswered(call: ControlCall, command: ControlCommand.Promote, answer: ControlAnswer) {
    val failover = group(call.database)?.failover
    if (failover !is FailoverState.Promoting || failover.proposedTerm != command.term) return
    if (answer is ControlAnswer.Confirmed) {
        adopt(call.database, command.term, call.server)
    } else {
        abandonTerm(call.database)
    }
}

/** Gives the term up if the server to promote is certain not to have been promoted. */
internal fun GroupsTurn.promoteFailed(call: ControlCall, command: ControlCommand.Promote, failure: ConnectionFailure) {
    val failover = group(call.database)?.failover
    val current = failover is FailoverState.Promoting && failover.proposedTerm == command.term
    if (current && failure == ConnectionFailure.REFUSED) abandonTerm(call.database)
}

/** Sends Promote. The same server is asked again until it answers: another one must not be promoted in this term. */
internal fun GroupsTurn.promote(database: DatabaseName, failover: FailoverState.Promoting) {
    val known = group(database) ?: return
    moveTo(database, failover)
    sendControl(known, failover.server, ControlCommand.Promote(failover.proposedTerm, state.settings.self))
    emit(Effect.StartTimer(TimerKey.FailoverStep(database), settings.probeTimeout))
}

/** Sends Promote again, or gives the term up after the failover's time. */
internal fun GroupsTurn.continuePromotion(database: DatabaseName, failover: FailoverState.Promoting) {
    if (now - failover.startedAt >= settings.failoverTimeout) {
        abandonTerm(database)
    } else {
        promote(database, failover)
    }
}

/** Announces and records the primary that this process promoted. */
internal fun GroupsTurn.finishPromotion(database: DatabaseName, failover: FailoverState.Promoting) {
    val known = group(database) ?: return
    emit(Effect.Count(CounterName.PROMOTIONS, label = database.value))
    emit(Effect.Log(LogLevel.INFO, "promoted a primary", failover.fields(database)))
    otherMonitors(known.group).forEach {
        send(it, PeerMessage.GroupAnnounced(database, failover.proposedTerm, failover.server))
    }
    recordPrimary(
        database,
        FailoverState.Recording(platformCall = null, failover.proposedTerm, failover.version, failover.server),
    )
}

/** Writes the primary into the group's object. */
internal fun GroupsTurn.recordPrimary(database: DatabaseName, failover: FailoverState.Recording) {
    emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
    val record = GroupRecord(failover.proposedTerm, failover.server, state.settings.self)
    val put = PlatformCall.Put(groupKey(database), GroupRecords.encode(record), failover.version)
    moveTo(database, failover.copy(platformCall = callPlatform(put)))
}

/** Writes again while the platform fails. A conflict means that the write took effect or a later term was claimed. */
internal fun GroupsTurn.recordAnswered(
    database: DatabaseName,
    failover: FailoverState.Recording,
    answer: PlatformAnswer,
) {
    if (answer is PlatformAnswer.Failed) {
        moveTo(database, failover.copy(platformCall = null))
        emit(Effect.StartTimer(TimerKey.FailoverStep(database), FAILOVER_PAUSE))
    } else {
        moveTo(database, FailoverState.Watching)
    }
}

private fun FailoverState.Promoting.fields(database: DatabaseName): Map<String, String> =
    mapOf("database" to database.value, "term" to proposedTerm.toString(), "primary" to server.value)

/** The most advanced of the fenced servers; the replaced primary only if there is no majority without it. */
internal fun GroupState.bestCandidate(fencing: FailoverState.Fencing, leavingServers: Set<ServerName>): ServerName? {
    val others = fencing.fenced.filterKeys { it != primary }
    val candidates = if (others.size >= group.majority) others else fencing.fenced
    return group.servers
        .map { it.name }
        .filter { it in candidates }
        .maxWithOrNull(compareBy({ candidates.getValue(it) }, { !isLeaving(it, leavingServers) }))
}
