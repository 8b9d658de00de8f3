package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.membership.TestFleet
import dev.hibiscusreach.core.model.Configuration
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo

class ConfigurationPartTest {
    private val fleet = TestFleet()

    // Guards against an accepted edit that stays unknown to some processes.
    @Test
    fun `an accepted edit is in effect on every process within a second`() {
        val nodes = fleet.startAll(count = 8)
        fleet.platform.store(Configuration(generation = 1))

        fleet.run(seconds = 1)

        expectThat(nodes).all { get { generation }.isEqualTo(1) }
    }
}
