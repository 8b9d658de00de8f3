package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds

/** A replica whose data is older than this is far behind. */
private val FAR_BEHIND = 5.seconds

/** A replica that was far behind has caught up once the age of its data is below this. */
private val CAUGHT_UP = 1.seconds

/** Marks the replicas that are far behind, and begins the warm-up of those that have caught up. */
internal fun GroupState.withLagUpdated(now: MonotonicTime): GroupState {
    val newest = samples.newest ?: return this
    // Without fresh samples the age of all data grows, so it tells nothing about a single replica.
    val samplesAreFresh = newest.term == term && now - newest.sentAt < CAUGHT_UP
    return if (samplesAreFresh) {
        group.servers.fold(this) { group, server -> group.withLagUpdated(server.name, now) }
    } else {
        this
    }
}

private fun GroupState.withLagUpdated(server: ServerName, now: MonotonicTime): GroupState {
    val serverHealth = healthOf(server)
    val age = serverHealth.status?.let { samples.newestWithin(it.applied) }?.let { now - it.sentAt }
    val behind = age == null || age > FAR_BEHIND
    return when {
        behind && !serverHealth.farBehind -> withHealth(server) { it.copy(farBehind = true) }
        serverHealth.farBehind && age != null && age < CAUGHT_UP ->
            withHealth(server) { it.copy(farBehind = false, warmUpFrom = now) }
        else -> this
    }
}
