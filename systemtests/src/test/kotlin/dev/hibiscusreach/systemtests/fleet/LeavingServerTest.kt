package dev.hibiscusreach.systemtests.fleet

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull

class LeavingServerTest {
    private val scenario = Scenario(Deployment.cycleRacks(), seed = 11)

    // Guards against work that is sent to a server whose host is about to be switched off.
    @Test
    fun `a leaving replica gets no new work after a few seconds`() {
        scenario.start()
        scenario.fleet.schedule.advance(millis = 3_000)
        val primary = scenario.faults.primary()
        val replica = scenario.fleet.servers.values.first { it != primary && it.newWorkAt.isNotEmpty() }

        replica.model.leaving = true
        val leftAt = scenario.fleet.schedule.nowMillis
        scenario.fleet.schedule.advance(millis = 10_000)
        scenario.finish()

        expectThat(replica.newWorkAt.filter { it > leftAt + GRACE_MILLIS }).isEmpty()
        expectThat(scenario.violations()).isEmpty()
    }

    // Guards against a leaving primary that keeps all writes until it is switched off.
    @Test
    fun `a leaving primary is replaced and gets no new work after a few seconds`() {
        scenario.start()
        scenario.fleet.schedule.advance(millis = 3_000)
        val primary = scenario.faults.primary()!!

        primary.model.leaving = true
        val leftAt = scenario.fleet.schedule.nowMillis
        scenario.fleet.schedule.advance(millis = 10_000)
        val successor = scenario.faults.primary()
        scenario.finish()

        expectThat(successor).isNotNull().isNotEqualTo(primary)
        expectThat(primary.newWorkAt.filter { it > leftAt + GRACE_MILLIS }).isEmpty()
        expectThat(successor!!.newWorkAt.filter { it > leftAt + GRACE_MILLIS }.size).isGreaterThan(10)
        expectThat(scenario.violations()).isEmpty()
    }

    private companion object {
        /** The guarantee allows a few seconds. */
        const val GRACE_MILLIS = 3_000L
    }
}
