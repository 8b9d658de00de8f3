package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.membership.Watchers
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Rules

/**
 * Cost of configuration changes against their number and the size of the inventory, in a fleet with two watchers and
 * two other nodes in each failure domain.
 */
internal class ChangesExperiment(private val repetitions: Int) {
    fun run(): List<Series> =
        repeated(CHANGES, repetitions) { changes, run -> byNumber(changes, run) } +
            repeated(DATABASES, repetitions) { databases, run -> byInventory(databases, run) }

    private fun byNumber(changes: Int, run: Int): Sample {
        val cost = measure(KNOWN_DATABASES, changes, run)
        return mapOf(
            CPU to cost.others.nanos / NANOS_PER_MILLI / HALF,
            BYTES to cost.traffic.peerBytes.toDouble() / NODES,
            PLATFORM to cost.traffic.platformCalls.toDouble(),
        )
    }

    private fun byInventory(databases: Int, run: Int): Sample {
        val idle = measure(databases, changes = 0, run)
        val busy = measure(databases, CHANGES_BY_INVENTORY, run)
        val each = (HALF * CHANGES_BY_INVENTORY).toDouble()
        val peerBytes = busy.traffic.peerBytes - idle.traffic.peerBytes
        return mapOf(
            CPU_WATCHER to (busy.watchers.nanos - idle.watchers.nanos) / NANOS_PER_MILLI / each,
            CPU_OTHER to (busy.others.nanos - idle.others.nanos) / NANOS_PER_MILLI / each,
            ALLOCATED_WATCHER to (busy.watchers.bytes - idle.watchers.bytes) / each,
            ALLOCATED_OTHER to (busy.others.bytes - idle.others.bytes) / each,
            BYTES_EACH to peerBytes.toDouble() / (NODES * CHANGES_BY_INVENTORY),
        )
    }

    private class Cost(val watchers: CostMeter, val others: CostMeter, val traffic: Traffic)

    private fun measure(databases: Int, changes: Int, run: Int): Cost {
        val initial = Deployment.configuration(databases, NODES, remote = true)
        val fleet = SimulatedFleet(NODES, initial, run)
        fleet.start(SETTLE_MILLIS)
        repeat(changes) { change ->
            val delayMillis = (change + 1) * CHANGE_PERIOD_MILLIS
            fleet.time.afterMillis(delayMillis) { fleet.platform.publish(edit(initial, change)) }
        }
        val watchers = CostMeter()
        val others = CostMeter()
        val traffic = fleet.measure(WINDOW_MILLIS) { if (Watchers.isWatcher(it.state)) watchers else others }
        return Cost(watchers, others, traffic)
    }

    // Raises the limit of one caller, as an operator's edit of one rule does.
    private fun edit(initial: Configuration, change: Int): Configuration =
        initial.copy(
            generation = initial.generation + 1 + change,
            rules = Rules(initial.rules.callers.map { CallerRule(it.caller, it.connectionLimit + 1 + change) }),
        )

    private companion object {
        val CHANGES = listOf(0, 2, 4, 8)
        val DATABASES = listOf(100, 400, 1600)
        const val NODES = 4 * Deployment.DOMAINS
        const val HALF = NODES / 2
        const val KNOWN_DATABASES = 100
        const val CHANGES_BY_INVENTORY = 4
        const val SETTLE_MILLIS = 5_000L
        const val CHANGE_PERIOD_MILLIS = 1_000L
        const val WINDOW_MILLIS = 12_000L
        const val NANOS_PER_MILLI = 1e6
        const val BY_NUMBER = "changes in 12 s, 100 databases known"
        const val BY_INVENTORY = "databases known"
        val CPU = Quantity("processor time per node that is no watcher", "ms", BY_NUMBER, Statistic.LOWEST)
        val BYTES = Quantity("peer message bytes sent per node", "B", BY_NUMBER)
        val PLATFORM = Quantity("platform calls of 16 watchers", "calls", BY_NUMBER)
        val CPU_WATCHER = Quantity("processor time per change and watcher", "ms", BY_INVENTORY, Statistic.LOWEST)
        val CPU_OTHER = Quantity("processor time per change and other node", "ms", BY_INVENTORY, Statistic.LOWEST)
        val ALLOCATED_WATCHER = Quantity("allocation per change and watcher", "B", BY_INVENTORY)
        val ALLOCATED_OTHER = Quantity("allocation per change and other node", "B", BY_INVENTORY)
        val BYTES_EACH = Quantity("peer message bytes per change and node", "B", BY_INVENTORY)
    }
}
