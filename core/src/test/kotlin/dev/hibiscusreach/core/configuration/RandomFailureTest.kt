package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.membership.TestFleet
import dev.hibiscusreach.core.membership.TestNode
import dev.hibiscusreach.core.model.Configuration
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Injects random faults that overlap; the fleet checks that no process returns to a lower generation. */
class RandomFailureTest {
    private val domains = listOf("yard", "store", "dublin")
    private val nodes = mutableMapOf<Int, TestNode>()

    // Guards against combinations of faults after which processes stay partitioned or miss an accepted edit.
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `all processes agree after failures in any combination`(seed: Int) {
        val fleet = TestFleet(seed)
        val random = Random(seed)
        repeat(PROCESSES) { start(fleet, it + 1) }
        fleet.run(seconds = 5)

        repeat(STEPS) {
            injectFault(fleet, random)
            fleet.run(seconds = 1)
        }
        fleet.isPartitioned = { _, _ -> false }
        fleet.platform.isDown = false
        fleet.platform.dropsPutAnswers = false
        edit(fleet)
        fleet.run(seconds = 40)

        expectThat(nodes.values).all {
            get { membership.livePeers() }.hasSize(PROCESSES - 1)
            get { generation }.isEqualTo(fleet.platform.storedGeneration())
        }
    }

    private fun injectFault(fleet: TestFleet, random: Random) {
        val number = random.nextInt(PROCESSES) + 1
        val domain = domains.random(random)
        val other = (domains + "platform").random(random)
        when (random.nextInt(ACTIONS)) {
            0 -> fleet.pause(nodes.getValue(number), millis = random.nextInt(500, 6_000))
            1 -> start(fleet, number)
            2 -> fleet.isPartitioned = { from, to -> from != to && (from == domain && to == other || to == domain) }
            3 -> fleet.isPartitioned = { _, _ -> false }
            4 -> fleet.platform.isDown = !fleet.platform.isDown
            5 -> fleet.platform.dropsPutAnswers = !fleet.platform.dropsPutAnswers
            else -> if (!fleet.platform.isDown) edit(fleet)
        }
    }

    private fun edit(fleet: TestFleet) {
        val generation = (fleet.platform.storedGeneration() ?: 0) + 1
        fleet.platform.store(Configuration(generation, Examples.inventory, Examples.rules), listOf("edit-$generation"))
    }

    private fun start(fleet: TestFleet, number: Int) {
        nodes[number] = fleet.start(number, domains[number % domains.size], seeds = listOf(1, 2))
    }

    private companion object {
        const val PROCESSES = 9
        const val STEPS = 60
        const val ACTIONS = 8
    }
}
