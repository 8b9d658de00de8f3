package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter

/** Lets the load of a server that is new, has restarted or returns after an ejection grow over a few seconds. */
internal object SlowStart {
    /** Begins the slow start of a server. Its latency and concurrency limit are learned anew. */
    fun begin(reduction: Reduction, server: ServerName) {
        if (!ServerLoads.apply(reduction)) return
        ServerLoads.update(reduction, server) { it.copy(startedAt = reduction.now, latency = null, limit = null) }
        reduction.count(SessionCounter.SERVER_SELECTION, "slow-start")
    }

    /** The part of its usual share of the load, between 0 and 1, that the server gets now. */
    fun share(reduction: Reduction, server: ServerName): Double {
        val startedAt = ServerLoads.of(reduction, server).startedAt ?: return 1.0
        val limits = reduction.settings.selection
        val passed = (reduction.now - startedAt).value / limits.slowStart.value.toDouble()
        val first = limits.slowStartPercent / FULL_PERCENT.toDouble()
        return minOf(1.0, first + (1 - first) * passed)
    }
}
