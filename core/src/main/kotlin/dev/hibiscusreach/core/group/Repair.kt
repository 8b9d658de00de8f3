package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.inSeconds

/** Pause between two Follow commands to the same server. */
private val FOLLOW_PAUSE = 1.inSeconds

/** Makes [server] follow the primary of the current term if it is not known to do so. */
internal fun GroupsTurn.repair(database: DatabaseName, server: ServerName) {
    val known = group(database) ?: return
    val primary = known.primary ?: return
    val health = known.healthOf(server)
    val paused = health.followSentAt != null && health.followSentAt >= known.adoptedAt &&
        now - health.followSentAt < FOLLOW_PAUSE
    if (server != primary && known.needsFollow(health) && !paused) {
        update(database) { it.withHealth(server) { old -> old.copy(followSentAt = now) } }
        sendControl(known, server, ControlCommand.Follow(known.term, primary))
    }
}

/** Makes all servers but the primary follow it. */
internal fun GroupsTurn.repairAll(database: DatabaseName) {
    group(database)?.group?.servers?.forEach { repair(database, it.name) }
}

// A server in a higher term belongs to a later primary and would refuse.
private fun GroupState.needsFollow(health: ServerHealth): Boolean {
    val known = health.term ?: return true
    return known < term || (known == term && health.followedTerm != term)
}
