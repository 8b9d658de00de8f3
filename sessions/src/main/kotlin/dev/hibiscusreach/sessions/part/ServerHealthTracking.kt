package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName

/** Notes what each exchange shows of a server's health. */
internal object ServerHealthTracking {
    /** Weight of the earlier durations against one new duration. */
    private const val SMOOTHING = 7L

    /** The server was sent something that it has to answer. */
    fun asked(turn: Reduction, server: ServerName) =
        turn.updateHealth(server) { it.copy(silentSince = it.silentSince ?: turn.now) }

    /** The server answered something. */
    fun answered(turn: Reduction, server: ServerName) =
        turn.updateHealth(server) { it.copy(answeredAt = turn.now, silentSince = null) }

    /** A statement took [duration] at the server. */
    fun latency(turn: Reduction, server: ServerName, duration: Millis) =
        turn.updateHealth(server) { health ->
            val before = health.latency ?: duration
            health.copy(latency = Millis((before.value * SMOOTHING + duration.value) / (SMOOTHING + 1)))
        }

    /** A connection to the server failed; the next one waits longer. */
    fun connectFailed(turn: Reduction, server: ServerName) {
        val limits = turn.settings.connections
        turn.updateHealth(server) { health ->
            val pause = health.connectPause?.let { minOf(it * 2, limits.maxBackoff) } ?: limits.initialBackoff
            health.copy(connectPause = pause, connectAfter = turn.now + pause)
        }
    }

    /** A replica lacked a position that a read needs. */
    fun behind(turn: Reduction, server: ServerName) {
        val until = turn.now + turn.settings.connections.laggingReplicaPause
        turn.updateHealth(server) { it.copy(behindUntil = until) }
    }

    /** Whether no new connection to the server is opened for now. */
    fun isPaused(turn: Reduction, server: ServerName): Boolean =
        turn.health(server).connectAfter?.let { turn.now < it } ?: false

    /** Whether the server has not answered for longer than a statement takes. */
    fun isSilent(turn: Reduction, server: ServerName): Boolean {
        val since = turn.health(server).silentSince
        return since != null && turn.now - since > turn.settings.statements.silenceTimeout
    }
}
