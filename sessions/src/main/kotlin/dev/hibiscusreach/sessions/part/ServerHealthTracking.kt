package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName

/** Derives the health of each server from its answers, silences and failed connections. */
internal object ServerHealthTracking {
    /** Weight of the previous average in the moving average of the latency; a new duration has weight 1. */
    private const val PREVIOUS_WEIGHT = 7L

    /** Records that a request was sent which the server has to answer. */
    fun recordRequest(reduction: Reduction, server: ServerName) =
        reduction.updateHealth(server) { it.copy(silentSince = it.silentSince ?: reduction.now) }

    /** Records an answer of any kind. */
    fun recordAnswer(reduction: Reduction, server: ServerName) =
        reduction.updateHealth(server) { it.copy(answeredAt = reduction.now, silentSince = null) }

    /** Adds the duration of a statement to the smoothed latency of the server. */
    fun recordLatency(reduction: Reduction, server: ServerName, duration: Millis) =
        reduction.updateHealth(server) { health ->
            val previous = health.latency ?: duration
            health.copy(latency = Millis((previous.value * PREVIOUS_WEIGHT + duration.value) / (PREVIOUS_WEIGHT + 1)))
        }

    /** Records a failed connect and doubles the backoff up to its maximum. */
    fun recordConnectFailure(reduction: Reduction, server: ServerName) {
        val limits = reduction.settings.connections
        reduction.updateHealth(server) { health ->
            val pause = health.connectPause?.let { minOf(it * 2, limits.maxBackoff) } ?: limits.initialBackoff
            health.copy(connectPause = pause, connectAfter = reduction.now + pause)
        }
    }

    /** Records that a replica had not applied the position that a read needs. */
    fun recordLag(reduction: Reduction, server: ServerName) {
        val until = reduction.now + reduction.settings.connections.laggingReplicaPause
        reduction.updateHealth(server) { it.copy(behindUntil = until) }
    }

    /** Whether new connections to the server are paused. */
    fun isConnectPaused(reduction: Reduction, server: ServerName): Boolean =
        reduction.health(server).connectAfter?.let { reduction.now < it } ?: false

    /** Whether a silent server has to be asked for its status, so that it is used again once it answers. */
    fun isProbeDue(reduction: Reduction, server: ServerName): Boolean {
        val probedAt = reduction.health(server).probedAt
        val isDue = probedAt == null || reduction.now - probedAt >= reduction.settings.changes.retryPause
        return isDue && isSilent(reduction, server)
    }

    /** Whether the server has left a request unanswered for longer than the silence timeout. */
    fun isSilent(reduction: Reduction, server: ServerName): Boolean {
        val since = reduction.health(server).silentSince
        return since != null && reduction.now - since > reduction.settings.statements.silenceTimeout
    }
}
