package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** Updates the state of [database] with the [status] in a server's answer to a command sent at [sentAt]. */
internal fun GroupsStepBuilder.observeStatus(database: DatabaseName, status: ServerStatus, sentAt: MonotonicTime) {
    val before = group(database)?.takeIf { it.group.server(status.server) != null } ?: return
    update(database) { it.withHealth(status.server) { previous -> it.afterAnswer(previous, status, sentAt, now) } }
    updateHighestTerm(database, status.term)
    if (status.role == ServerRole.PRIMARY) {
        adoptPrimary(database, status.term, status.server)
    }
    update(database) {
        it.withTermStart(status).withHeadSample(status, sentAt).withVerifiedSamples().withDurableIndexes()
    }
    ensureFollowing(database, status.server)
    completeWaits(database)
    val after = group(database) ?: return
    if (after.routingChanged(before, status.server, now)) {
        signal(Signal.GroupStatusChanged(database))
    }
}

private fun GroupState.afterAnswer(
    previous: ServerHealth,
    status: ServerStatus,
    sentAt: MonotonicTime,
    now: MonotonicTime,
): ServerHealth {
    // After a pause of this process every server appears to have been silent, so none counts as returned.
    val watched = now - monitoredSince >= settings.suspicionAfter
    val returned = watched && previous.respondedAt != null && !previous.isReachable(now, settings.suspicionAfter)
    val health = previous.observed(status, sentAt, now)
    // A server that was unreachable may have restarted and lost the setting which server to follow.
    return if (returned) health.copy(warmUpFrom = now, followedTerm = null) else health
}

// A waiting read can depend on positions, leadership, verified samples and reachability.
private fun GroupState.routingChanged(before: GroupState, server: ServerName, now: MonotonicTime): Boolean =
    healthOf(server).status != before.healthOf(server).status ||
        samples.newest != before.samples.newest ||
        isReachable(server, now) != before.isReachable(server, now)
