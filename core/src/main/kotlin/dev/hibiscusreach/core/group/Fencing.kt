package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Term

/** Starts to fence the servers, which makes them refuse every term below the claimed one. */
internal fun GroupsStepBuilder.startFencing(database: DatabaseName, term: Term, version: Long) {
    val groupState = group(database) ?: return
    val primaryToReplace = groupState.primary?.takeIf { groupState.mustReplacePrimary(now) }
    setFailover(database, FailoverState.Fencing(term, version, startedAt = now, primaryToReplace))
    updateHighestTerm(database, term)
    sendFences(database)
}

/** Counts the server as fenced if it confirmed, and abandons the term if it refused. */
internal fun GroupsStepBuilder.handleFenceAnswer(
    call: ControlCall,
    command: ControlCommand.Fence,
    answer: ControlAnswer,
) {
    val failover = group(call.database)?.failover
    if (failover !is FailoverState.Fencing || failover.proposedTerm != command.term) return
    if (answer is ControlAnswer.Confirmed) {
        val fenced = failover.copy(fenced = failover.fenced.put(call.server, answer.status.applied))
        setFailover(call.database, fenced)
        promoteIfReady(call.database, fenced)
    } else {
        abandonTerm(call.database)
    }
}

/** Promotes a server if a majority is fenced; otherwise fences again, or gives up after the failover timeout. */
internal fun GroupsStepBuilder.continueFencing(database: DatabaseName, failover: FailoverState.Fencing) {
    promoteIfReady(database, failover)
    if (group(database)?.failover != failover) return
    if (now - failover.startedAt >= settings.failoverTimeout) abandonTerm(database) else sendFences(database)
}

private fun GroupsStepBuilder.sendFences(database: DatabaseName) {
    val groupState = group(database) ?: return
    val failover = groupState.failover as? FailoverState.Fencing ?: return
    val command = ControlCommand.Fence(failover.proposedTerm, state.settings.self)
    groupState.group.servers
        .filter { it.name !in failover.fenced }
        .forEach { sendControl(groupState, it.name, command) }
    emit(Effect.StartTimer(TimerKey.FailoverStep(database), settings.fenceWait))
}

// Waits a short time after a majority is fenced, because a remaining reachable server may have the highest position.
private fun GroupsStepBuilder.promoteIfReady(database: DatabaseName, failover: FailoverState.Fencing) {
    val groupState = group(database) ?: return
    val unfenced =
        groupState.group.servers.map { it.name }.filter { it !in failover.fenced && groupState.isReachable(it, now) }
    val waitOver = now - failover.startedAt >= settings.fenceWait
    val complete = unfenced.isEmpty() || waitOver
    val server = groupState.bestCandidate(failover)
    if (complete && failover.fenced.size >= groupState.group.majority && server != null) {
        promote(database, FailoverState.Promoting(failover.proposedTerm, failover.version, now, server))
    }
}
