package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds

/** Pause between two Follow commands to the same server. */
private val FOLLOW_PAUSE = 1.seconds

/** A replica that is behind and has not moved for this time may have forgotten whom it follows. */
private val STUCK_AFTER = 2.seconds

/** Makes [server] follow the primary of the current term if it is not known to do so. */
internal fun GroupsTurn.repair(database: DatabaseName, server: ServerName) {
    val known = group(database) ?: return
    val primary = known.primary?.takeIf { it != server } ?: return
    if (known.needsFollow(server, now) && !known.wasAskedToFollow(server, now)) {
        update(database) { it.withHealth(server) { old -> old.copy(followSentAt = now) } }
        sendControl(known, server, ControlCommand.Follow(known.term, primary))
    }
}

/** Makes all servers but the primary follow it. */
internal fun GroupsTurn.repairAll(database: DatabaseName) {
    group(database)?.group?.servers?.forEach { repair(database, it.name) }
}

private fun GroupState.wasAskedToFollow(server: ServerName, now: MonotonicTime): Boolean {
    val sentAt = healthOf(server).followSentAt ?: return false
    return sentAt >= adoptedAt && now - sentAt < FOLLOW_PAUSE
}

// A server in a higher term belongs to a later primary and would refuse.
private fun GroupState.needsFollow(server: ServerName, now: MonotonicTime): Boolean {
    val known = healthOf(server)
    val serverTerm = known.term ?: return true
    val outdated = serverTerm < term || known.followedTerm != term
    return serverTerm <= term && (outdated || isStuck(known, now))
}

private fun GroupState.isStuck(known: ServerHealth, now: MonotonicTime): Boolean =
    now - known.progressedAt >= STUCK_AFTER && known.held < durable()
