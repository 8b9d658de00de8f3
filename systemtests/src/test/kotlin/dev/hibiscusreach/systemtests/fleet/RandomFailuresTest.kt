package dev.hibiscusreach.systemtests.fleet

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/** Checks the histories of concurrent sessions under random failures. `-Dfleet.seeds=N` runs more seeds. */
class RandomFailuresTest {
    @Test
    fun `a calm fleet keeps every promise and serves reads from replicas`() {
        val scenario = Scenario(Deployment.cycleRacks(), seed = 1)

        scenario.run(millis = 10_000)

        expectThat(scenario.violations()).isEmpty()
        expectThat(scenario.history.operations.size).isGreaterThan(200)
        expectThat(scenario.fleet.counts["hibiscusreach.reads/replica"] ?: 0).isGreaterThan(0)
    }

    // Guards against failures that only combinations of faults bring out.
    @TestFactory
    fun `no history shows a violation under random failures`(): List<DynamicTest> =
        (1..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val deployment = if (seed % 2 == 0) Deployment.cycleRacks() else Deployment.vendingMachines()
                val scenario = Scenario(deployment, seed.toLong(), kinds = Fault.entries)

                scenario.run(millis = 20_000)

                expectThat(scenario.violations()).isEmpty()
            }
        }

    private companion object {
        val SEEDS: Int = Integer.getInteger("fleet.seeds", 20)
    }
}
