package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Rules

/** Cost of configuration changes in a fleet of eight nodes, against their number and the size of the inventory. */
internal class ChangesExperiment(private val repetitions: Int) {
    fun run(): List<Series> =
        repeated(CHANGES, repetitions) { changes, run -> byNumber(changes, run) } +
            repeated(DATABASES, repetitions) { databases, run -> byInventory(databases, run) }

    private fun byNumber(changes: Int, run: Int): Sample {
        val (cost, traffic) = measure(KNOWN_DATABASES, changes, run)
        return mapOf(
            CPU to cost.nanos / NANOS_PER_MILLI / Deployment.DOMAINS,
            BYTES to traffic.peerBytes.toDouble() / Deployment.DOMAINS,
            PLATFORM to traffic.platformCalls.toDouble(),
        )
    }

    private fun byInventory(databases: Int, run: Int): Sample {
        val (idle, idleTraffic) = measure(databases, changes = 0, run)
        val (busy, busyTraffic) = measure(databases, CHANGES_BY_INVENTORY, run)
        val each = (Deployment.DOMAINS * CHANGES_BY_INVENTORY).toDouble()
        return mapOf(
            CPU_EACH to (busy.nanos - idle.nanos) / NANOS_PER_MILLI / each,
            ALLOCATED_EACH to (busy.bytes - idle.bytes) / each,
            BYTES_EACH to (busyTraffic.peerBytes - idleTraffic.peerBytes) / each,
        )
    }

    private fun measure(databases: Int, changes: Int, run: Int): Pair<CostMeter, Traffic> {
        val initial = Deployment.configuration(databases, Deployment.DOMAINS, remote = true)
        val fleet = SimulatedFleet(Deployment.DOMAINS, initial, run)
        fleet.start(SETTLE_MILLIS)
        repeat(changes) { change ->
            fleet.time.afterMillis((change + 1) * CHANGE_PERIOD_MILLIS) { fleet.platform.publish(edit(initial, change)) }
        }
        return fleet.measure(WINDOW_MILLIS)
    }

    // Raises the limit of one caller, as an operator's edit of one rule does.
    private fun edit(initial: Configuration, change: Int): Configuration =
        initial.copy(
            generation = initial.generation + 1 + change,
            rules = Rules(initial.rules.callers.map { CallerRule(it.caller, it.connectionLimit + 1 + change) }),
        )

    private companion object {
        val CHANGES = listOf(0, 2, 4, 8, 16)
        val DATABASES = listOf(100, 200, 400, 800, 1600)
        const val KNOWN_DATABASES = 100
        const val CHANGES_BY_INVENTORY = 4
        const val SETTLE_MILLIS = 10_000L
        const val CHANGE_PERIOD_MILLIS = 1_000L
        const val WINDOW_MILLIS = 25_000L
        const val NANOS_PER_MILLI = 1e6
        const val BY_NUMBER = "changes in 25 s, 100 databases known"
        const val BY_INVENTORY = "databases known"
        val CPU = Quantity("processor time per node", "ms", BY_NUMBER, Statistic.LOWEST)
        val BYTES = Quantity("peer message bytes sent per node", "B", BY_NUMBER)
        val PLATFORM = Quantity("platform calls of 8 nodes, all watchers", "calls", BY_NUMBER)
        val CPU_EACH = Quantity("processor time per change and node", "ms", BY_INVENTORY, Statistic.LOWEST)
        val ALLOCATED_EACH = Quantity("allocation per change and node", "B", BY_INVENTORY)
        val BYTES_EACH = Quantity("peer message bytes per change and node", "B", BY_INVENTORY)
    }
}
