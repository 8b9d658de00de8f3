package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds

/** Minimum time between two Follow commands to the same server. */
private val FOLLOW_RETRY_INTERVAL = 1.seconds

/** A replica that is behind and made no progress for this time may have lost the setting which server to follow. */
private val STALLED_AFTER = 2.seconds

/** Sends a Follow command to [server] unless it is known to follow the primary of the current term. */
internal fun GroupsStepBuilder.ensureFollowing(database: DatabaseName, server: ServerName) {
    val groupState = group(database) ?: return
    val primary = groupState.primary?.takeIf { it != server } ?: return
    if (groupState.needsFollow(server, now) && !groupState.wasAskedToFollow(server, now)) {
        update(database) { it.withHealth(server) { health -> health.copy(followSentAt = now) } }
        sendControl(groupState, server, ControlCommand.Follow(groupState.term, primary))
    }
}

/** Sends a Follow command to every replica that is not known to follow the primary of the current term. */
internal fun GroupsStepBuilder.ensureAllFollowing(database: DatabaseName) {
    group(database)?.group?.servers?.forEach { ensureFollowing(database, it.name) }
}

private fun GroupState.wasAskedToFollow(server: ServerName, now: MonotonicTime): Boolean {
    val sentAt = healthOf(server).followSentAt ?: return false
    return sentAt >= adoptedAt && now - sentAt < FOLLOW_RETRY_INTERVAL
}

// A server in a higher term follows a later primary and would refuse the command.
private fun GroupState.needsFollow(server: ServerName, now: MonotonicTime): Boolean {
    val serverHealth = healthOf(server)
    val serverTerm = serverHealth.term ?: return true
    val outdated = serverTerm < term || serverHealth.followedTerm != term
    return serverTerm <= term && (outdated || isStalled(serverHealth, now))
}

private fun GroupState.isStalled(serverHealth: ServerHealth, now: MonotonicTime): Boolean =
    now - serverHealth.progressedAt >= STALLED_AFTER && serverHealth.held < durable()
