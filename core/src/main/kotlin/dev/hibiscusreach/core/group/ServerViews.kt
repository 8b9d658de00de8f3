package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds
import kotlin.math.roundToLong

/** A returning server's caches are cold; it reaches its full share of reads after this time. */
private val WARM_UP = 10.seconds
private const val MINIMUM_WARM_UP_PERCENT = 10L
private const val FULL_PERCENT = 100L

/** [server] as routing sees it. */
internal fun GroupState.view(server: ServerName, now: MonotonicTime): ServerView {
    val known = healthOf(server)
    return ServerView(
        name = server,
        reachable = isReachable(server, now) && isUsable(server),
        leaving = isLeaving(server),
        applied = known.status?.applied ?: Position.ORIGIN,
        latency = Millis((known.latencyMillis ?: 0.0).roundToLong()),
        warmUpPercent = warmUpPercent(known, now),
    )
}

// A server that was fenced but does not follow the primary yet may still have entries that were never acknowledged.
private fun GroupState.isUsable(server: ServerName): Boolean {
    val known = healthOf(server)
    return known.term == term && (server == primary || known.followedTerm == term)
}

private fun warmUpPercent(health: ServerHealth, now: MonotonicTime): Int =
    health.warmUpFrom
        ?.let { ((now - it).value * FULL_PERCENT / WARM_UP.value).coerceIn(MINIMUM_WARM_UP_PERCENT, FULL_PERCENT) }
        ?.toInt()
        ?: FULL_PERCENT.toInt()
