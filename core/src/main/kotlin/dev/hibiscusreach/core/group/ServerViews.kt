package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds
import kotlin.math.roundToLong

/** Time until a returning server, whose caches are cold, gets its full share of reads. */
private val WARM_UP = 10.seconds
private const val MINIMUM_WARM_UP_PERCENT = 10L
private const val FULL_PERCENT = 100L

/** The view of [server] that routing uses. */
internal fun GroupState.view(server: ServerName, now: MonotonicTime): ServerView {
    val serverHealth = healthOf(server)
    return ServerView(
        name = server,
        reachable = isReachable(server, now) && isUsable(server),
        leaving = isLeaving(server),
        applied = serverHealth.status?.applied ?: Position.ORIGIN,
        latency = Millis((serverHealth.latencyMillis ?: 0.0).roundToLong()),
        warmUpPercent = warmUpPercent(serverHealth, now),
    )
}

// A server that was fenced but does not follow the primary yet may hold entries that were never acknowledged.
private fun GroupState.isUsable(server: ServerName): Boolean {
    val serverHealth = healthOf(server)
    return serverHealth.term == term && (server == primary || serverHealth.followedTerm == term)
}

private fun warmUpPercent(health: ServerHealth, now: MonotonicTime): Int =
    health.warmUpFrom
        ?.let { ((now - it).value * FULL_PERCENT / WARM_UP.value).coerceIn(MINIMUM_WARM_UP_PERCENT, FULL_PERCENT) }
        ?.toInt()
        ?: FULL_PERCENT.toInt()
