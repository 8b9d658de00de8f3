package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.DatabaseName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class PlatformFailureTest {
    private val simulation = GroupSimulation().apply { awaitPrimary() }
    private val old = simulation.primary
    private val oldTerm = old.term
    private val node = simulation.nodes.first()

    // Guards against a claim that took effect but is taken for lost, which would block its own term.
    @Test
    fun `a claim whose answer was lost is recognized`() {
        simulation.run(100)
        simulation.platform.putAnswersToLose = 1
        old.up = false

        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(1_500)
        expectThat(simulation.primary.term).isEqualTo(oldTerm.next())
    }

    // Guards against a record that stays without a primary.
    @Test
    fun `the promotion is recorded although answers are lost`() {
        simulation.run(100)
        old.up = false
        simulation.runUntil { simulation.platform.record("group/jobs")?.term != oldTerm }
        simulation.platform.putAnswersToLose = 2
        simulation.awaitPrimary(above = oldTerm)
        simulation.run(3_000)

        expectThat(simulation.platform.record("group/jobs")?.primary).isEqualTo(simulation.primary.name)
    }

    // Guards against promotions that were not agreed through the platform.
    @Test
    fun `nobody is promoted while the platform is down`() {
        simulation.platform.down = true
        old.up = false
        simulation.run(10_000)
        expectThat(simulation.servers.maxOf { it.term }).isEqualTo(oldTerm)

        simulation.platform.down = false
        simulation.awaitPrimary(above = oldTerm)
        expectThat(simulation.primary.term).isGreaterThan(oldTerm)
    }

    // Guards against an outage of the platform that stops a group whose primary works.
    @Test
    fun `writes go on while the platform is down`() {
        simulation.platform.down = true
        simulation.run(10_000)
        val attempt = node.write(old)
        simulation.run(50)

        expectThat(node.signals).contains(Signal.DurabilityReached(attempt))
    }

    // Guards against queries for a database that this process does not monitor.
    @Test
    fun `a process that is not a home knows nothing`() {
        val stranger = DatabaseName("unknown")

        expectThat(node.groups.primary(stranger)).isNull()
        expectThat(node.groups.term(stranger).number).isEqualTo(0)
    }
}
