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

/** Adopts the promoted server as primary if it confirmed, and abandons the term if it refused. */
internal fun GroupsStepBuilder.handlePromoteAnswer(
    call: ControlCall,
    command: ControlCommand.Promote,
    answer: ControlAnswer,
) {
    val failover = group(call.database)?.failover
    if (failover !is FailoverState.Promoting || failover.proposedTerm != command.term) return
    if (answer is ControlAnswer.Confirmed) {
        adoptPrimary(call.database, command.term, call.server)
    } else {
        abandonTerm(call.database)
    }
}

/** Abandons the term if the server refused the connection, since it was then certainly not promoted. */
internal fun GroupsStepBuilder.handlePromoteFailure(
    call: ControlCall,
    command: ControlCommand.Promote,
    failure: ConnectionFailure,
) {
    val failover = group(call.database)?.failover
    val current = failover is FailoverState.Promoting && failover.proposedTerm == command.term
    if (current && failure == ConnectionFailure.REFUSED) abandonTerm(call.database)
}

/** Sends Promote. Retries go to the same server, because no other one may be promoted in this term. */
internal fun GroupsStepBuilder.promote(database: DatabaseName, failover: FailoverState.Promoting) {
    val groupState = group(database) ?: return
    setFailover(database, failover)
    sendControl(groupState, failover.server, ControlCommand.Promote(failover.proposedTerm, state.settings.self))
    emit(Effect.StartTimer(TimerKey.FailoverStep(database), settings.probeTimeout))
}

/** Sends Promote again, or abandons the term after the failover timeout. */
internal fun GroupsStepBuilder.continuePromotion(database: DatabaseName, failover: FailoverState.Promoting) {
    if (now - failover.startedAt >= settings.failoverTimeout) {
        abandonTerm(database)
    } else {
        promote(database, failover)
    }
}

/** Announces the primary that this process promoted to the other monitors, and records it. */
internal fun GroupsStepBuilder.finishPromotion(database: DatabaseName, failover: FailoverState.Promoting) {
    val groupState = group(database) ?: return
    emit(Effect.Count(CounterName.PROMOTIONS, label = database.value))
    emit(Effect.Log(LogLevel.INFO, "promoted a primary", failover.fields(database)))
    otherMonitors(groupState.group).forEach {
        sendToPeer(it, PeerMessage.GroupAnnounced(database, failover.proposedTerm, failover.server))
    }
    recordPrimary(
        database,
        FailoverState.Recording(platformCall = null, failover.proposedTerm, failover.version, failover.server),
    )
}

/** Writes the new primary to the group's object on the platform. */
internal fun GroupsStepBuilder.recordPrimary(database: DatabaseName, failover: FailoverState.Recording) {
    emit(Effect.CancelTimer(TimerKey.FailoverStep(database)))
    val record = GroupRecord(failover.proposedTerm, failover.server, state.settings.self)
    val put = PlatformCall.Put(groupKey(database), GroupRecordCodec.encode(record), failover.version)
    setFailover(database, failover.copy(platformCall = callPlatform(put)))
}

/** Retries while the platform fails. A conflict means that the write took effect or that a later term was claimed. */
internal fun GroupsStepBuilder.handleRecordWrite(
    database: DatabaseName,
    failover: FailoverState.Recording,
    answer: PlatformAnswer,
) {
    if (answer is PlatformAnswer.Failed) {
        setFailover(database, failover.copy(platformCall = null))
        emit(Effect.StartTimer(TimerKey.FailoverStep(database), FAILOVER_RETRY_DELAY))
    } else {
        setFailover(database, FailoverState.Watching)
    }
}

private fun FailoverState.Promoting.fields(database: DatabaseName): Map<String, String> =
    mapOf("database" to database.value, "term" to proposedTerm.toString(), "primary" to server.value)

/** The fenced server with the highest position; the primary to replace only if there is no majority without it. */
internal fun GroupState.bestCandidate(fencing: FailoverState.Fencing): ServerName? {
    val others = fencing.fenced.filterKeys { it != fencing.primaryToReplace }
    val candidates = if (others.size >= group.majority) others else fencing.fenced
    return group.servers
        .map { it.name }
        .filter { it in candidates }
        .maxWithOrNull(compareBy({ candidates.getValue(it) }, { !isLeaving(it) }))
}
