package dev.hibiscusreach.systemtests.fleet

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class FleetStartTest {
    // Guards against a cold start in which parts wait for each other.
    @Test
    fun `a fleet that starts with a new inventory finds its peers, its configuration and a primary`() {
        val fleet = Fleet(Deployment.cycleRacks(), seed = 1)

        fleet.start()
        fleet.schedule.advance(millis = 5_000)

        expectThat(fleet.running()).all {
            get { state.configuration.index.generation }.isEqualTo(1)
            get { state.membership.livePeers().size }.isEqualTo(5)
        }
        val database = fleet.deployment.configuration.inventory.databaseGroups.first().name
        val homes = fleet.running().filter { it.state.pools.roles.containsKey(database) }
        expectThat(homes.size).isEqualTo(3)
        expectThat(homes).all { get { state.groups.primary(database) }.isNotNull() }
    }
}
