package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** Duration and platform calls of primary changes against the number of primaries that fall silent together. */
internal class FailoverExperiment(private val repetitions: Int) {
    fun run(): List<Series> = repeated(LOST, repetitions, ::measure)

    private fun measure(lost: Int, run: Int): Sample {
        val configuration = Deployment.configuration(DATABASES, NODES)
        val fleet = SimulatedFleet(NODES, configuration, run)
        fleet.start(SETTLE_MILLIS)
        val old = configuration.inventory.databaseGroups.take(lost).associate { it.name to primaries(fleet, it.name) }
        check(old.values.all { it.size == 1 }) { "the homes do not agree on the primaries" }
        old.values.forEach { fleet.servers.silence(it.single()) }
        val before = fleet.traffic
        val start = fleet.time.nowMillis
        while (old.any { (database, primary) -> !isReplaced(fleet, database, primary) }) {
            check(fleet.time.nowMillis - start < LIMIT_MILLIS) { "primaries are not replaced" }
            fleet.time.advance(STEP_MILLIS)
        }
        return mapOf(
            DURATION to (fleet.time.nowMillis - start).toDouble(),
            PLATFORM to (fleet.traffic - before).platformCalls.toDouble(),
        )
    }

    private fun isReplaced(fleet: SimulatedFleet, database: DatabaseName, old: Set<ServerName?>): Boolean {
        val now = primaries(fleet, database)
        return now.size == 1 && null !in now && now != old
    }

    /** What the homes of [database] hold for its primary. */
    private fun primaries(fleet: SimulatedFleet, database: DatabaseName): Set<ServerName?> =
        fleet.proxies
            .filter { it.state.groups.servers(database, NOW).isNotEmpty() }
            .map { it.state.groups.primary(database) }
            .toSet()

    private companion object {
        val LOST = listOf(1, 25, 50, 100)
        val NOW = MonotonicTime(0)
        const val DATABASES = 100
        const val NODES = 16
        const val SETTLE_MILLIS = 8_000L
        const val LIMIT_MILLIS = 60_000L
        const val STEP_MILLIS = 10L
        const val VARIABLE = "primaries silent at the same time, 16 nodes"
        val DURATION = Quantity("time until all homes have the new primary", "ms", VARIABLE, Statistic.HIGHEST)
        val PLATFORM = Quantity("platform calls during the primary change", "calls", VARIABLE)
    }
}
