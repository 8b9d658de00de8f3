package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds

/** A replica whose data is older counts as far behind. */
private val FAR_BEHIND = 5.seconds

/** A replica that was far behind has caught up when its data is not older. */
private val CAUGHT_UP = 1.seconds

/** Notes which replicas are far behind, and starts the slow start of those that have caught up. */
internal fun GroupState.withLagJudged(now: MonotonicTime): GroupState {
    val newest = samples.newest ?: return this
    // Without fresh samples a replica's age says nothing of the replica.
    val judgeable = newest.term == term && now - newest.sentAt < CAUGHT_UP
    return if (judgeable) group.servers.fold(this) { group, server -> group.withLagJudged(server.name, now) } else this
}

private fun GroupState.withLagJudged(server: ServerName, now: MonotonicTime): GroupState {
    val known = healthOf(server)
    val age = known.status?.let { samples.newestWithin(it.applied) }?.let { now - it.sentAt }
    val behind = age == null || age > FAR_BEHIND
    return when {
        behind && !known.farBehind -> withHealth(server) { it.copy(farBehind = true) }
        known.farBehind && age != null && age < CAUGHT_UP ->
            withHealth(server) { it.copy(farBehind = false, warmUpFrom = now) }
        else -> this
    }
}
