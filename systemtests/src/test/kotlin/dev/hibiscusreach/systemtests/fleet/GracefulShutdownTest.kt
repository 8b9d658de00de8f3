package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.event.Event
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

class GracefulShutdownTest {
    // Guards against requests that are cut or refused because their proxy or its homes are shut down.
    @Test
    fun `a rolling restart of all proxies cuts and refuses no request`() {
        val scenario = Scenario(Deployment.cycleRacks(), seed = 21, mix = WorkloadMix(maximumPauseMillis = 100))
        scenario.start()
        val drained = mutableListOf<FakeProxy>()

        scenario.fleet.proxies.values.toList().forEach { proxy ->
            proxy.deliver(Event.DrainRequested)
            scenario.fleet.schedule.advance(DRAIN_MILLIS)
            drained += proxy
            scenario.fleet.startProxy(proxy.settings.self.peerEndpoint, proxy.settings.failureDomain)
            scenario.fleet.schedule.advance(RESTART_MILLIS)
        }
        scenario.finish()

        expectThat(drained).all { get { hasExited }.isTrue() }
        expectThat(scenario.history.refusals).isEmpty()
        expectThat(scenario.history.operations.size).isGreaterThan(2_000)
        expectThat(scenario.violations()).isEmpty()
    }

    private companion object {
        const val DRAIN_MILLIS = 13_000L
        const val RESTART_MILLIS = 7_000L
    }
}
