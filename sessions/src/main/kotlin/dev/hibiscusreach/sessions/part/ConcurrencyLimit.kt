package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.LearnedLimit

/**
 * Limits the statements in flight at each server: the limit grows by one for each window of successes at the limit, and
 * shrinks by a factor on overload and on a rise of the latency. Statements of running transactions are not limited.
 */
internal object ConcurrencyLimit {
    /** Whether another statement may be sent to the server; always unless the selection is adaptive. */
    fun hasRoom(reduction: Reduction, server: RegisteredServer): Boolean =
        !ServerLoads.apply(reduction) || ServerLoads.inFlight(reduction, server.name) < value(reduction, server)

    /** The current limit; at least 1, and at most the size of the pool. */
    fun value(reduction: Reduction, server: RegisteredServer): Int = limit(reduction, server).value

    /** Records a success. The answered statement is not in flight any more. */
    fun recordSuccess(reduction: Reduction, name: ServerName) {
        val server = reduction.state.server(name) ?: return
        val limit = limit(reduction, server)
        val wasAtLimit = ServerLoads.inFlight(reduction, name) + 1 >= limit.value
        when {
            hasRisen(reduction, name) && limit.value >= initial(reduction, server) -> {
                val percent = reduction.settings.selection.latencyDecreasePercent
                lower(reduction, server, percent, lowest = initial(reduction, server), reason = "latency")
            }
            wasAtLimit && limit.successes + 1 >= limit.value -> {
                val grown = minOf(limit.value + 1, maxOf(1, ConnectionPools.maxConnections(reduction, server)))
                put(reduction, name, limit.copy(value = grown, successes = 0))
            }
            wasAtLimit -> put(reduction, name, limit.copy(successes = limit.successes + 1))
        }
    }

    /** Records a rejection because of overload. */
    fun recordOverload(reduction: Reduction, name: ServerName) {
        val server = reduction.state.server(name) ?: return
        val percent = reduction.settings.selection.overloadDecreasePercent
        lower(reduction, server, percent, lowest = 1, reason = "overload")
    }

    private fun hasRisen(reduction: Reduction, server: ServerName): Boolean {
        val limits = reduction.settings.selection
        val lowest = ServerLoads.of(reduction, server).latency?.lowest ?: return false
        val latency = ServerLatency.expected(reduction, server)
        return latency * FULL_PERCENT > lowest * limits.risenLatencyPercent &&
            latency > lowest + limits.latencyRise.value
    }

    // The latency of few statements varies, so it does not lower the limit below the one of an unknown server.
    private fun lower(reduction: Reduction, server: RegisteredServer, percent: Int, lowest: Int, reason: String) {
        val limit = limit(reduction, server)
        val isPaused =
            limit.loweredAt?.let { reduction.now - it < reduction.settings.selection.decreasePause } ?: false
        if (isPaused || limit.value <= lowest) return
        val lowered = maxOf(lowest, limit.value * percent / FULL_PERCENT)
        put(reduction, server.name, limit.copy(value = lowered, successes = 0, loweredAt = reduction.now))
        reduction.count(SessionCounter.SERVER_SELECTION, "limit-lowered-$reason")
    }

    private fun limit(reduction: Reduction, server: RegisteredServer): LearnedLimit {
        val isPrimary = reduction.group(server.group).record?.primary == server.name
        val learned = ServerLoads.of(reduction, server.name).limit?.takeIf { it.asPrimary == isPrimary }
        val limit = learned ?: LearnedLimit(initial(reduction, server), asPrimary = isPrimary)
        val pool = maxOf(1, ConnectionPools.maxConnections(reduction, server))
        return limit.copy(value = limit.value.coerceIn(1, pool))
    }

    private fun initial(reduction: Reduction, server: RegisteredServer): Int {
        val homes = GroupHomes.others(reduction, server.group).size + 1
        return maxOf(reduction.settings.selection.initialLimit, server.slots / homes)
    }

    private fun put(reduction: Reduction, server: ServerName, limit: LearnedLimit) =
        ServerLoads.update(reduction, server) { it.copy(limit = limit) }
}
