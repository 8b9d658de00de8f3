package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Term

/** Makes the servers refuse every term below the claimed one. */
internal fun GroupsTurn.startFencing(database: DatabaseName, term: Term, version: Long) {
    val before = group(database) ?: return
    moveTo(database, FailoverState.Fencing(term, version, startedAt = now))
    noteTerm(database, term)
    if (before.servingPrimary() != null) {
        signal(Signal.PrimaryChanged(database, before.term, primary = null))
    }
    sendFences(database)
}

/** Takes in the answer to a Fence command. */
internal fun GroupsTurn.fenceAnswered(call: ControlCall, command: ControlCommand.Fence, answer: ControlAnswer) {
    val failover = group(call.database)?.failover
    if (failover !is FailoverState.Fencing || failover.proposedTerm != command.term) return
    if (answer is ControlAnswer.Confirmed) {
        val fenced = failover.copy(fenced = failover.fenced.put(call.server, answer.status.applied))
        moveTo(call.database, fenced)
        promoteIfReady(call.database, fenced)
    } else {
        abandonTerm(call.database)
    }
}

/** Promotes a server if a majority is fenced; otherwise fences again, or gives up after the failover's time. */
internal fun GroupsTurn.continueFencing(database: DatabaseName, failover: FailoverState.Fencing) {
    promoteIfReady(database, failover)
    if (group(database)?.failover != failover) return
    if (now - failover.startedAt >= settings.failoverTimeout) abandonTerm(database) else sendFences(database)
}

private fun GroupsTurn.sendFences(database: DatabaseName) {
    val known = group(database) ?: return
    val failover = known.failover as? FailoverState.Fencing ?: return
    val command = ControlCommand.Fence(failover.proposedTerm, state.settings.self)
    known.group.servers
        .filter { it.name !in failover.fenced }
        .forEach { sendControl(known, it.name, command) }
    emit(Effect.StartTimer(TimerKey.FailoverStep(database), settings.fenceWait))
}

// After a majority a short wait gives the remaining reachable servers the chance to be the most advanced one.
private fun GroupsTurn.promoteIfReady(database: DatabaseName, failover: FailoverState.Fencing) {
    val known = group(database) ?: return
    val missing = known.group.servers.map { it.name }.filter { it !in failover.fenced && known.isReachable(it, now) }
    val waitOver = now - failover.startedAt >= settings.fenceWait
    val complete = missing.isEmpty() || waitOver
    val server = known.bestCandidate(failover, groups.leavingServers)
    if (complete && failover.fenced.size >= known.group.majority && server != null) {
        promote(database, FailoverState.Promoting(failover.proposedTerm, failover.version, now, server))
    }
}
