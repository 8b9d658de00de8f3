package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.reducer.DatabaseHomes

/** Cost of single reducer steps at the target's size, against the databases and against the nodes. */
internal class StepsExperiment(private val repetitions: Int) {
    fun run(): List<Series> {
        // The steps would otherwise be compiled during the first size.
        measure(DATABASES.first(), NODES.first(), BY_NODES)
        return measured()
    }

    private fun measured(): List<Series> =
        repeated(DATABASES, repetitions) { databases, _ -> measure(databases, TARGET_NODES, BY_DATABASES) } +
            repeated(NODES, repetitions) { nodes, _ -> measure(TARGET_DATABASES, nodes, BY_NODES) } +
            repeated(HOMES, repetitions) { databases, run -> atHome(databases, run) }

    private fun measure(databases: Int, nodes: Int, variable: String): Sample {
        val lone = LoneProxy(nodes)
        lone.load(Deployment.configuration(databases, nodes))
        val ping = PeerMessage.Ping(1, emptyList(), generation = 1)
        return mapOf(
            quantity("a peer joins", variable) to lone.micros(lone.newcomer(), FEW),
            quantity("probe timer", variable) to lone.micros(Event.TimerFired(TimerKey.ProbePeriod), FEW),
            quantity("pool timer", variable) to lone.micros(Event.TimerFired(TimerKey.PoolPeriod), MANY),
            quantity("membership timer", variable) to lone.micros(Event.TimerFired(TimerKey.MembershipPeriod), MANY),
            quantity("ping received", variable) to
                lone.micros(Event.PeerMessageReceived(Deployment.identity(1), ping), MANY),
            quantity("request arrives and is forwarded", variable) to lone.micros(forwarded(lone), MANY),
        )
    }

    // A database whose home in this failure domain, or else in the nearest one, is another proxy.
    private fun forwarded(lone: LoneProxy): Event {
        val state = lone.proxy.state
        val group =
            state.configuration.index.configuration.inventory.databaseGroups.first {
                DatabaseHomes.nearest(state, it) != state.settings.self
            }
        return arrival(1, group.name.value)
    }

    private fun atHome(databases: Int, run: Int): Sample {
        val fleet = SimulatedFleet(Deployment.DOMAINS, Deployment.configuration(databases, Deployment.DOMAINS), run)
        fleet.start(SETTLE_MILLIS)
        val proxy = fleet.proxies.first()
        val read = proxy.cost(arrival(1, "database-0", Access.READ), MANY)
        val write = proxy.cost(arrival(1, "database-0"), MANY)
        return mapOf(
            quantity("read arrives at the home and is routed", BY_HOMES) to read.microsEach(),
            quantity("write arrives at the home and is routed", BY_HOMES) to write.microsEach(),
        )
    }

    private fun LoneProxy.micros(event: Event, times: Int): Double = proxy.cost(event, times).microsEach()

    private fun CostMeter.microsEach(): Double = nanos / NANOS_PER_MICRO / count

    private fun quantity(step: String, variable: String) = Quantity("step: $step", "us", variable, Statistic.LOWEST)

    private companion object {
        const val TARGET_NODES = 1300
        const val TARGET_DATABASES = 1600
        val DATABASES = listOf(400, 800, 1600)
        val NODES = listOf(325, 650, 1300)
        val HOMES = listOf(16, 32, 64)
        const val SETTLE_MILLIS = 15_000L
        const val FEW = 10
        const val MANY = 2000
        const val NANOS_PER_MICRO = 1e3
        const val BY_DATABASES = "databases in the inventory, 1300 nodes"
        const val BY_NODES = "nodes, 1600 databases in the inventory"
        const val BY_HOMES = "databases on 8 nodes"
    }
}
