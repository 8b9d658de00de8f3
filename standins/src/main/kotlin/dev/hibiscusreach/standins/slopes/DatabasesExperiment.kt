package dev.hibiscusreach.standins.slopes

/** Cost of homes: a fleet of eight nodes, one in each failure domain, with more and more databases. */
internal class DatabasesExperiment(private val repetitions: Int) {
    fun run(): List<Series> = repeated(DATABASES, repetitions, ::measure)

    private fun measure(databases: Int, run: Int): Sample {
        val fleet = SimulatedFleet(Deployment.DOMAINS, Deployment.configuration(databases, Deployment.DOMAINS), run)
        fleet.start(SETTLE_MILLIS)
        val started = fleet.traffic.platformCalls.toDouble()
        val (cost, traffic) = fleet.measure(WINDOW_MILLIS)
        val nodeSeconds = Deployment.DOMAINS * WINDOW_SECONDS
        return mapOf(
            CPU to cost.nanos / NANOS_PER_MILLI / nodeSeconds,
            ALLOCATED to cost.bytes / nodeSeconds,
            COMMANDS to traffic.controlCommands / nodeSeconds,
            CONTROL_BYTES to traffic.controlBytes / nodeSeconds,
            PEER_BYTES to traffic.peerBytes / nodeSeconds,
            PLATFORM to traffic.platformCalls * SECONDS_PER_MINUTE / WINDOW_SECONDS,
            START to started,
        )
    }

    private companion object {
        // Three homes for each database on eight nodes: 3 to 48 homes a node.
        val DATABASES = listOf(8, 16, 32, 64, 128)
        const val SETTLE_MILLIS = 10_000L
        const val WINDOW_MILLIS = 25_000L
        const val WINDOW_SECONDS = 25.0
        const val SECONDS_PER_MINUTE = 60.0
        const val NANOS_PER_MILLI = 1e6
        const val VARIABLE = "databases on 8 nodes"
        val CPU = Quantity("processor time per node", "ms/s", VARIABLE, Statistic.LOWEST)
        val ALLOCATED = Quantity("allocation per node", "B/s", VARIABLE)
        val COMMANDS = Quantity("control commands to servers per node", "1/s", VARIABLE)
        val CONTROL_BYTES = Quantity("JSON bytes of control commands and answers per node", "B/s", VARIABLE)
        val PEER_BYTES = Quantity("peer message bytes sent per node", "B/s", VARIABLE)
        val PLATFORM = Quantity("platform calls of the fleet", "1/min", VARIABLE)
        val START = Quantity("platform calls of the fleet in the first 10 s", "calls", VARIABLE)
    }
}
