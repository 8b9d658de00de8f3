package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.Outcome
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo

class ReplacedPrimaryTest {
    // Guards against a write that only a replaced primary has, and that is lost when its domain is joined again.
    @Test
    fun `an isolated primary acknowledges no write and serves no read as the newest`() {
        val fleet = Fleet(Deployment.cycleRacks(), seed = 31)
        val probe = DirectRequests(fleet)
        fleet.start()
        fleet.schedule.advance(millis = 6_000)
        probe.write(fleet.running().first(), "put status before")
        fleet.schedule.advance(millis = 500)
        val oldPrimary = Faults(fleet, probe.database, emptyList()).primary()!!
        val domain = oldPrimary.server.failureDomain

        fleet.network.isolate(domain)
        repeat(20) {
            fleet.running().filter { it.settings.failureDomain == domain }.forEach { proxy ->
                probe.write(proxy, "put status isolated-$it")
                probe.readNewest(proxy, "get status")
            }
            fleet.schedule.advance(millis = 300)
        }
        val duringIsolation = probe.answers.drop(1).toList()
        fleet.network.heal()
        fleet.schedule.advance(millis = 10_000)
        probe.answers.clear()
        probe.readNewest(fleet.running().first(), "get status")
        fleet.schedule.advance(millis = 3_000)

        // The cut may close while a request that was already confirmed is on its way; here none is.
        expectThat(duringIsolation).filterIsInstance<CallerAnswer.Completed>().isEmpty()
        expectThat(duringIsolation.size).isGreaterThan(40)
        expectThat(Faults(fleet, probe.database, emptyList()).primary()).isNotEqualTo(oldPrimary)
        expectThat(probe.answers.filterIsInstance<CallerAnswer.Completed>().single().results.single().rows)
            .isEqualTo(listOf(listOf("before")))
    }

    // Guards against a majority that goes on although a server of the minority is still primary there.
    @Test
    fun `the majority side replaces an isolated primary within nine seconds`() {
        val fleet = Fleet(Deployment.cycleRacks(), seed = 32)
        val probe = DirectRequests(fleet)
        fleet.start()
        fleet.schedule.advance(millis = 6_000)
        val oldPrimary = Faults(fleet, probe.database, emptyList()).primary()!!

        fleet.network.isolate(oldPrimary.server.failureDomain)
        fleet.schedule.advance(millis = 9_000)
        probe.write(fleet.running().first { it.settings.failureDomain != oldPrimary.server.failureDomain }, "put a b")
        fleet.schedule.advance(millis = 2_000)

        expectThat(probe.answers.map { (it as? CallerAnswer.Refused)?.kind?.outcome ?: Outcome.RAN })
            .isEqualTo(listOf(Outcome.RAN))
    }
}
