package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer

/** The expected cost of a statement at a server as its answers show the load of all callers. */
internal object ServerCost {
    /**
     * The distance, plus the expected latency for each statement of this proxy that is in flight and for the next one,
     * plus a penalty for each recent rejection because of overload; in milliseconds.
     */
    fun of(reduction: Reduction, server: RegisteredServer): Double {
        val limits = reduction.settings.selection
        val inFlight = ServerLoads.inFlight(reduction, server.name)
        val overloads = ServerLoads.of(reduction, server.name).overloads.at(reduction.now, limits.loadHalfLife)
        return ServerSelection.distancePenalty(reduction, server).value +
            ServerLatency.expected(reduction, server.name) * (inFlight + 1) +
            limits.overloadPenalty.value * overloads
    }
}

/** The capacity of each server of a group that is left for statements which any of them can run. */
internal class FreeCapacity(private val reduction: Reduction, group: GroupName) {
    private val servers = reduction.servers(group)
    private val halfLife = reduction.settings.selection.loadHalfLife
    private val statements = servers.sumOf { load(it).statements.at(reduction.now, halfLife) }
    private val homes = GroupHomes.others(reduction, group).size + 1
    private val slots = servers.sumOf { maxOf(1, it.slots) }

    /**
     * The free capacity of [server] as a weight. Its share of the group's slots is reduced by the statements that only
     * it can run, which are about the same share of the load of every home, and by the slots that are occupied if all
     * homes have as many statements in flight as this one. It is multiplied by the part of its latency that is not
     * spent waiting, and by its speed.
     */
    fun of(server: RegisteredServer): Double {
        val load = load(server)
        val ownSlots = maxOf(1, server.slots)
        val share = ownSlots / slots.toDouble()
        val bound = if (statements == 0.0) 0.0 else load.boundStatements.at(reduction.now, halfLife) / statements
        val occupied = ServerLoads.inFlight(reduction, server.name) * homes / ownSlots.toDouble()
        val latency = maxOf(MIN_LATENCY, ServerLatency.expected(reduction, server.name))
        // The expected latency may have decayed below the lowest one that was seen lately.
        val speed = (load.latency?.lowest ?: latency).coerceIn(MIN_LATENCY, latency) / (latency * latency)
        return maxOf(MIN_SHARE, share - bound) * speed / (1 + occupied)
    }

    private fun load(server: RegisteredServer) = ServerLoads.of(reduction, server.name)

    private companion object {
        /** Part of a share that a server gets in any case, so that a change of its load is noticed. */
        const val MIN_SHARE = 0.02

        /** Lowest latency in milliseconds that is told apart; times are measured in whole milliseconds. */
        const val MIN_LATENCY = 1.0
    }
}
