package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.Term
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

class FailoverTest {
    // Guards against a new group that waits for a primary that it never had.
    @Test
    fun `a new group gets its first primary within a second`() {
        val simulation = GroupSimulation()

        expectThat(simulation.awaitPrimary()).isLessThan(1_000)
        expectThat(simulation.primary.term).isEqualTo(Term(1))
        simulation.run(100)
        expectThat(simulation.platform.record("group/jobs")?.primary).isEqualTo(simulation.primary.name)
        expectThat(simulation.replicas.map { it.follows }.distinct()).isEqualTo(listOf(simulation.primary.name))
    }

    // Guards against a group of one that waits for a second server.
    @Test
    fun `a group of a single server works`() {
        val simulation = GroupSimulation(domainCount = 1)
        simulation.awaitPrimary()

        val attempt = simulation.nodes.first().write(simulation.primary)
        expectThat(simulation.nodes.first().signals).contains(Signal.DurabilityReached(attempt))
    }

    // Guards against a dead primary that stays, and against a gap much longer than the detection.
    @Test
    fun `a killed primary is replaced and the acknowledged write survives`() {
        val simulation = GroupSimulation()
        simulation.awaitPrimary()
        val node = simulation.nodes.first()
        val old = simulation.primary
        val attempt = node.write(old)
        val position = old.applied
        simulation.run(50)
        expectThat(node.signals).contains(Signal.DurabilityReached(attempt))

        old.up = false
        expectThat(simulation.awaitPrimary(above = old.term)).isLessThan(1_500)
        expectThat(simulation.primary.name).isNotEqualTo(old.name)
        expectThat(simulation.primary.log).contains(position)
        expectThat(simulation.primary.term).isGreaterThan(old.term)
    }

    // Guards against an isolated primary whose writes are acknowledged after its replacement.
    @Test
    fun `an isolated primary is replaced and its writes are not durable`() {
        val simulation = GroupSimulation()
        simulation.awaitPrimary()
        simulation.run(1_000)
        val old = simulation.primary
        val alone = simulation.nodes.first { it.domain == old.domain }
        simulation.isolate(old.domain)
        val attempt = alone.write(old)
        val others = simulation.nodes - alone

        val gap = simulation.runUntil { others.all { it.groups.term(simulation.database) > old.term } }
        expectThat(gap).isLessThan(2_500)
        simulation.run(2_000)
        expectThat(alone.signals).contains(Signal.DurabilityNotReached(attempt))
        expectThat(alone.groups.term(simulation.database)).isEqualTo(Term(1))
    }
}
