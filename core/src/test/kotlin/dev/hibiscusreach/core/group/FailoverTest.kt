package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Term
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

class FailoverTest {
    private val simulation = GroupSimulation().apply { awaitPrimary() }
    private val oldPrimary = simulation.primary
    private val oldTerm = oldPrimary.term
    private val nodes = simulation.nodes
    private val node = nodes.first()

    // Guards against a new group that waits for the answer of a primary although it never had one.
    @Test
    fun `a new group gets its first primary within a second`() {
        val simulation = GroupSimulation()

        expectThat(simulation.awaitPrimary()).isLessThan(1_000)
        expectThat(simulation.primary.term).isEqualTo(Term(1))
        simulation.run(100)
        expectThat(simulation.platform.record("group/jobs")?.primary).isEqualTo(simulation.primary.name)
        expectThat(simulation.replicas.map { it.follows }.distinct()).isEqualTo(listOf(simulation.primary.name))
    }

    // Guards against waiting for a second server in a group that has only one.
    @Test
    fun `a group of a single server works`() {
        val simulation = GroupSimulation(domainCount = 1)
        simulation.awaitPrimary()

        val attempt = simulation.nodes.first().write(simulation.primary)
        expectThat(simulation.nodes.first().signals).contains(Signal.DurabilityReached(attempt))
    }

    // Guards against a dead primary that is not replaced, and against a failover that takes much longer than detection.
    @Test
    fun `a killed primary is replaced and the acknowledged write survives`() {
        val attempt = node.write(oldPrimary)
        val position = oldPrimary.applied
        simulation.run(50)
        expectThat(node.signals).contains(Signal.DurabilityReached(attempt))

        oldPrimary.up = false
        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(1_500)
        expectThat(simulation.primary.name).isNotEqualTo(oldPrimary.name)
        expectThat(simulation.primary.log).contains(position)
        expectThat(simulation.primary.term).isGreaterThan(oldTerm)
    }

    // Guards against acknowledging writes of an isolated primary after its replacement.
    @Test
    fun `an isolated primary is replaced and its writes are not durable`() {
        simulation.run(1_000)
        val isolated = simulation.nodes.first { it.domain == oldPrimary.domain }
        simulation.isolate(oldPrimary.domain)
        val attempt = isolated.write(oldPrimary)
        val others = simulation.nodes - isolated

        val gap = simulation.runUntil { others.all { it.groups.term(simulation.database) > oldTerm } }
        expectThat(gap).isLessThan(1_300)
        simulation.run(2_000)
        expectThat(isolated.signals).contains(Signal.DurabilityNotReached(attempt))
        expectThat(isolated.groups.term(simulation.database)).isEqualTo(Term(1))
    }

    // Guards against a failover because of one slow link, which would interrupt all other domains.
    @Test
    fun `a primary that is slow for one domain only is not replaced`() {
        val slow = nodes.first { it.domain != oldPrimary.domain }
        simulation.extraLatency[setOf(slow.domain, oldPrimary.domain)] = 700
        simulation.run(10_000)

        val views = slow.groups.servers(simulation.database, MonotonicTime(simulation.now))
        expectThat(views.filter { it.reachable }).hasSize(2)
        expectThat(nodes.map { it.groups.term(simulation.database) }).all { isEqualTo(oldTerm) }
        expectThat(simulation.platform.record("group/jobs")?.term).isEqualTo(oldTerm)
    }

    // Guards against a term that stays claimed by a paused proposer, and against a second promotion when it resumes.
    @Test
    fun `the term of a paused proposer is skipped and its resumption changes nothing`() {
        oldPrimary.up = false
        simulation.runUntil { nodes.any { it.failover is FailoverState.Fencing } }
        val proposer = nodes.first { it.failover is FailoverState.Fencing }.apply { pause() }
        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(6_000)
        expectThat(simulation.primary.term).isEqualTo(Term(3))
        val replacement = simulation.primary
        simulation.run(3_000)
        proposer.resume()
        simulation.run(3_000)

        expectThat(simulation.primary).isEqualTo(replacement)
        expectThat(nodes.map { it.groups.primary(simulation.database) }).all { isEqualTo(replacement.name) }
        expectThat(simulation.servers.filter { it.up && it.role == ServerRole.PRIMARY }).hasSize(1)
    }

    // Guards against two primaries in one term when monitors that cannot reach each other propose at the same time.
    @Test
    fun `two proposers that cannot reach each other promote one server per term`() {
        val others = nodes.filter { it.domain != oldPrimary.domain }.map { it.domain }
        simulation.homePartitions += others.toSet()
        oldPrimary.up = false
        simulation.awaitPrimary(above = oldTerm)
        simulation.run(5_000)

        val promotions = simulation.servers.flatMap { it.promotedIn }
        expectThat(promotions.distinct()).isEqualTo(promotions)
        expectThat(nodes.map { it.groups.primary(simulation.database) }.distinct()).hasSize(1)
    }

    // Guards against a proposer that lost a claim and waits forever for the winner, which is gone.
    @Test
    fun `a proposer that lost a claim continues when the winner is gone`() {
        simulation.homePartitions += nodes.filter { it.domain != oldPrimary.domain }.map { it.domain }.toSet()
        simulation.platform.delay = 200
        nodes.first { it.domain == oldPrimary.domain }.pause()
        oldPrimary.up = false
        simulation.runUntil { nodes.any { it.failover is FailoverState.Claiming } }
        nodes.first { it.failover is FailoverState.Claiming }.pause()

        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(8_000)
        expectThat(simulation.primary.term).isEqualTo(Term(3))
    }

    // Guards against a promotion based on observations from before a pause of the process.
    @Test
    fun `a process that was paused probes before it suspects`() {
        // The primary's last answers arrive before the pause. After it, its first answers arrive later than the others.
        simulation.isolate(oldPrimary.domain)
        simulation.run(500)
        simulation.partitions.clear()
        nodes.forEach { simulation.extraLatency[setOf(it.domain, oldPrimary.domain)] = 200 }
        nodes.forEach { it.pause() }
        simulation.run(30_000)
        nodes.forEach { it.resume() }
        simulation.run(3_000)

        expectThat(nodes.map { it.groups.term(simulation.database) }).all { isEqualTo(oldTerm) }
        expectThat(simulation.platform.record("group/jobs")?.term).isEqualTo(oldTerm)
    }

    // Guards against sending new work to a primary whose host is about to be removed.
    @Test
    fun `a leaving primary is replaced while it still works`() {
        simulation.run(2_000)
        simulation.replicas.forEach { it.stalled = true }
        oldPrimary.write()
        oldPrimary.leaving = true

        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(2_000)
        expectThat(simulation.primary).isNotEqualTo(oldPrimary)
        simulation.run(5_000)
        expectThat(simulation.primary.term).isEqualTo(Term(2))
    }

    // Guards against a replica that is reachable but never catches up again.
    @Test
    fun `a replica that lost the setting which server to follow gets it again`() {
        val replica = simulation.replicas.first()
        simulation.run(1_000)
        replica.follows = null
        oldPrimary.write()
        simulation.run(4_000)

        expectThat(replica.log).isEqualTo(oldPrimary.log)
    }

    // Guards against a server that stays out of its group because a proposer fenced only it and then stopped.
    @Test
    fun `a server that was fenced alone rejoins the group`() {
        val fenced = simulation.replicas.first()
        fenced.fenceFor(Term(2), nodes.last().identity)
        simulation.run(8_000)

        expectThat(simulation.servers.map { it.term }.distinct()).hasSize(1)
        expectThat(simulation.replicas.map { it.follows }).all { isEqualTo(simulation.primary.name) }
    }

    // Guards against treating a claim that took effect as lost, which would block the claimed term.
    @Test
    fun `a claim whose answer was lost is recognized as its own`() {
        simulation.run(100)
        simulation.platform.putAnswersToLose = 1
        oldPrimary.up = false

        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(1_500)
        expectThat(simulation.primary.term).isEqualTo(oldTerm.next())
    }

    // Guards against a group record that never names the promoted primary.
    @Test
    fun `the promotion is recorded although answers are lost`() {
        simulation.run(100)
        oldPrimary.up = false
        simulation.runUntil { simulation.platform.record("group/jobs")?.term != oldTerm }
        simulation.platform.putAnswersToLose = 2
        simulation.awaitPrimary(above = oldTerm)
        simulation.run(3_000)

        expectThat(simulation.platform.record("group/jobs")?.primary).isEqualTo(simulation.primary.name)
    }

    // Guards against a promotion without a claim on the platform, and against an outage of it that stops writes.
    @Test
    fun `while the platform is unavailable writes continue and no server is promoted`() {
        simulation.platform.down = true
        simulation.run(10_000)
        val attempt = node.write(oldPrimary)
        simulation.run(50)
        expectThat(node.signals).contains(Signal.DurabilityReached(attempt))

        oldPrimary.up = false
        simulation.run(10_000)
        expectThat(simulation.servers.maxOf { it.term }).isEqualTo(oldTerm)

        simulation.platform.down = false
        simulation.awaitPrimary(above = oldTerm)
        expectThat(simulation.primary.term).isGreaterThan(oldTerm)
    }
}
