package dev.hibiscusreach.systemtests.fleet

import com.github.michaelbull.result.get
import dev.hibiscusreach.core.configuration.ConfigurationCodec
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Rules
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo

class ConfigurationInForceTest {
    private val fleet = Fleet(Deployment.cycleRacks(), seed = 51)
    private val initial = fleet.deployment.configuration
    private val raised = withLimit(generation = 2, limit = 40)

    // Guards against proxies that go on with an old limit.
    @Test
    fun `a raised limit is in force on every proxy within seven seconds`() {
        fleet.start()
        fleet.schedule.advance(millis = 6_000)

        fleet.publish(raised, "raise")
        fleet.schedule.advance(IN_FORCE_MILLIS)

        expectLimitEverywhere(limit = 40)
    }

    // Guards against a cut between a failure domain and the platform that hides a change from the domain.
    @Test
    fun `a domain that cannot reach the platform gets the change from its peers`() {
        fleet.start()
        fleet.schedule.advance(millis = 6_000)
        val store = fleet.deployment.storeDomain
        val cutOff = fleet.deployment.domains.last().name
        fleet.network.cut(cutOff, store)
        fleet.network.cut(store, cutOff)

        fleet.publish(raised, "raise")
        fleet.schedule.advance(IN_FORCE_MILLIS)

        expectLimitEverywhere(limit = 40)
    }

    // Guards against a raised limit that is taken back by a store that was restored from an old backup.
    @Test
    fun `a store that comes back with an older configuration is brought up to date and reverts nobody`() {
        fleet.start()
        fleet.schedule.advance(millis = 6_000)
        fleet.publish(raised, "raise")
        fleet.schedule.advance(IN_FORCE_MILLIS)

        fleet.platform.model.outage = true
        fleet.schedule.advance(millis = 20_000)
        fleet.publish(initial, "initial")
        fleet.platform.model.outage = false
        fleet.schedule.advance(millis = 60_000)

        expectLimitEverywhere(limit = 40)
        expectThat(storedGeneration()).isEqualTo(2)
    }

    // Guards against a proxy that starts while the platform is down and serves nothing until it is back.
    @Test
    fun `a proxy that starts during an outage of the platform gets the configuration from its peers`() {
        fleet.start()
        fleet.schedule.advance(millis = 6_000)
        fleet.publish(raised, "raise")
        fleet.schedule.advance(IN_FORCE_MILLIS)
        fleet.platform.model.outage = true
        val restarted = fleet.running().last()

        fleet.killProxy(restarted)
        fleet.startProxy(restarted.settings.self.peerEndpoint, restarted.settings.failureDomain)
        fleet.schedule.advance(IN_FORCE_MILLIS)

        expectLimitEverywhere(limit = 40)
    }

    private fun expectLimitEverywhere(limit: Int) {
        expectThat(fleet.running()).all {
            get { state.configuration.index.rule(Deployment.RELAXED_CALLER).connectionLimit }.isEqualTo(limit)
        }
    }

    private fun storedGeneration(): Long? {
        var generation: Long? = null
        fleet.platform.call(PlatformCall.Get(ConfigurationCodec.ROOT_KEY)) { answer ->
            val root = (answer as? PlatformAnswer.Found)?.let { ConfigurationCodec.decodeRoot(it.value) }
            generation = root?.get()?.generation
        }
        fleet.schedule.advance(millis = 1)
        return generation
    }

    private fun withLimit(generation: Long, limit: Int): Configuration =
        initial.copy(
            generation = generation,
            rules =
            Rules(
                listOf(
                    CallerRule(Deployment.RELAXED_CALLER, limit, Deployment.STATED_AGE_MILLIS),
                    CallerRule(Deployment.STRICT_CALLER, limit),
                ),
            ),
        )

    private companion object {
        const val IN_FORCE_MILLIS = 7_000L
    }
}
