package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.model.Configuration

/** Cost of membership and dissemination against the number of nodes, without databases. */
internal class NodesExperiment(private val repetitions: Int) {
    fun run(): List<Series> {
        val (platform, others) = repeated(SIZES, repetitions, ::measure).partition { it.quantity == PLATFORM }
        return others + platform.map(::byWatchers)
    }

    // Up to two nodes a domain all are watchers; further nodes add no platform calls, which the last point shows.
    private fun byWatchers(series: Series): Series =
        Series(
            series.quantity.copy(variable = "watchers"),
            series.runs.filterKeys { it <= ALL_WATCHERS },
        )

    fun measure(nodes: Int, run: Int): Sample {
        val configuration = Deployment.configuration(databases = 0, nodes = nodes)
        val fleet = SimulatedFleet(nodes, configuration, seed = run)
        fleet.start(SETTLE_MILLIS)
        val (cost, traffic) = fleet.measure(WINDOW_MILLIS)
        val nodeSeconds = nodes * WINDOW_SECONDS
        return mapOf(
            CPU to cost.nanos / NANOS_PER_MILLI / nodeSeconds,
            ALLOCATED to cost.bytes / nodeSeconds,
            STEPS to cost.count / nodeSeconds,
            MESSAGES to traffic.peerMessages / nodeSeconds,
            BYTES to traffic.peerBytes / nodeSeconds,
            PLATFORM to traffic.platformCalls * SECONDS_PER_MINUTE / WINDOW_SECONDS,
            REACH to reachMillis(fleet, configuration.copy(generation = configuration.generation + 1)),
        )
    }

    private fun reachMillis(fleet: SimulatedFleet, changed: Configuration): Double {
        val start = fleet.time.nowMillis
        fleet.platform.publish(changed)
        while (fleet.proxies.any { it.state.configuration.index.generation < changed.generation }) {
            check(fleet.time.nowMillis - start < REACH_LIMIT_MILLIS) { "a change does not reach all nodes" }
            fleet.time.advance(1)
        }
        return (fleet.time.nowMillis - start).toDouble()
    }

    companion object {
        private val SIZES = listOf(2, 4, 8, 16, 32, 64, 256)
        private const val SETTLE_MILLIS = 40_000L

        /** Two waits of a platform watch, so that every periodic call is counted evenly. */
        private const val WINDOW_MILLIS = 50_000L
        private const val WINDOW_SECONDS = 50.0
        private const val ALL_WATCHERS = 2 * Deployment.DOMAINS
        private const val REACH_LIMIT_MILLIS = 60_000L
        private const val SECONDS_PER_MINUTE = 60.0
        private const val NANOS_PER_MILLI = 1e6
        private const val VARIABLE = "nodes"
        private val CPU = Quantity("processor time per node", "ms/s", VARIABLE, Statistic.LOWEST)
        private val ALLOCATED = Quantity("allocation per node", "B/s", VARIABLE)
        private val STEPS = Quantity("reducer steps per node", "1/s", VARIABLE)
        private val MESSAGES = Quantity("peer messages sent per node", "1/s", VARIABLE)
        private val BYTES = Quantity("peer message bytes sent per node", "B/s", VARIABLE)
        private val PLATFORM = Quantity("platform calls of the fleet", "1/min", VARIABLE)
        private val REACH = Quantity("time for a change to reach all nodes", "ms", VARIABLE, Statistic.HIGHEST)
    }
}
