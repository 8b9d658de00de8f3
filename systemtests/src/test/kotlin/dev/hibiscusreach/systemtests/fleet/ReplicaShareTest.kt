package dev.hibiscusreach.systemtests.fleet

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/** Measures the share of reads that replicas serve, beside a baseline in which every read asks for the newest data. */
class ReplicaShareTest {
    // Guards against routing that sends reads of stated age to the primary.
    @Test
    fun `reads of stated age are mostly served by replicas`() {
        listOf(
            "cycle racks" to Deployment.cycleRacks(),
            "vending machines" to Deployment.vendingMachines(),
        ).forEach { (name, deployment) ->
            val aged = share(name, deployment, OperationKind.AGED_GET)
            val baseline = share("$name, newest only", deployment, OperationKind.STRICT_GET)

            expectThat(aged).isGreaterThan(baseline)
            expectThat(aged).isGreaterThan(MOSTLY)
        }
    }

    private fun share(name: String, deployment: Deployment, read: OperationKind): Double {
        val mix =
            WorkloadMix(clients = 8, maximumPauseMillis = 100, parts = mapOf(read to 9, OperationKind.PUT to 1))
        val scenario = Scenario(deployment, seed = 61, mix = mix, callers = listOf(Deployment.RELAXED_CALLER))
        scenario.run(millis = 20_000)
        val counts = scenario.fleet.counts
        val replica = counts["hibiscusreach.reads/replica"] ?: 0
        val primary = counts["hibiscusreach.reads/primary"] ?: 0
        val share = replica.toDouble() / (replica + primary)
        println(
            "replica share, $name: ${"%.3f".format(share)} of ${replica + primary} reads, " +
                "${scenario.fleet.network.regionMessages} messages between regions",
        )
        expectThat(scenario.violations()).isEmpty()
        return share
    }

    private companion object {
        const val MOSTLY = 0.5
    }
}
