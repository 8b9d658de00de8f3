package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** Takes in what a server answered to something sent at [sentAt]. */
internal fun GroupsTurn.observe(database: DatabaseName, status: ServerStatus, sentAt: MonotonicTime) {
    val before = group(database)?.takeIf { it.group.server(status.server) != null } ?: return
    update(database) { it.withHealth(status.server) { known -> it.afterAnswer(known, status, sentAt, now) } }
    noteTerm(database, status.term)
    if (status.role == ServerRole.PRIMARY) {
        adopt(database, status.term, status.server)
    }
    update(database) { it.withTermStart(status).withSample(status, sentAt).withVerifiedSamples().withSettled() }
    repair(database, status.server)
    completeWaits(database)
    val after = group(database) ?: return
    if (after.routingChanged(before, status.server, now)) {
        signal(Signal.GroupStatusChanged(database))
    }
}

private fun GroupState.afterAnswer(
    known: ServerHealth,
    status: ServerStatus,
    sentAt: MonotonicTime,
    now: MonotonicTime,
): ServerHealth {
    // After a pause of this process all servers seem to have been away.
    val watched = now - monitoredSince >= settings.suspicionAfter
    val returned = watched && known.respondedAt != null && !known.isReachable(now, settings.suspicionAfter)
    val health = known.observed(status, sentAt, now)
    // A server that was away may have been restarted and may have forgotten whom it follows.
    return if (returned) health.copy(warmUpFrom = now, followedTerm = null) else health
}

// What a waiting read can depend on: positions, leadership, verified samples, reachability.
private fun GroupState.routingChanged(before: GroupState, server: ServerName, now: MonotonicTime): Boolean =
    healthOf(server).status != before.healthOf(server).status ||
        samples.newest != before.samples.newest ||
        isReachable(server, now) != before.isReachable(server, now)
