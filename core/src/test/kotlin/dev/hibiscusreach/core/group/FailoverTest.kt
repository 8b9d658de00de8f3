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
    private val old = simulation.primary
    private val oldTerm = old.term
    private val nodes = simulation.nodes
    private val node = nodes.first()

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
        val attempt = node.write(old)
        val position = old.applied
        simulation.run(50)
        expectThat(node.signals).contains(Signal.DurabilityReached(attempt))

        old.up = false
        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(1_500)
        expectThat(simulation.primary.name).isNotEqualTo(old.name)
        expectThat(simulation.primary.log).contains(position)
        expectThat(simulation.primary.term).isGreaterThan(oldTerm)
    }

    // Guards against an isolated primary whose writes are acknowledged after its replacement.
    @Test
    fun `an isolated primary is replaced and its writes are not durable`() {
        simulation.run(1_000)
        val alone = simulation.nodes.first { it.domain == old.domain }
        simulation.isolate(old.domain)
        val attempt = alone.write(old)
        val others = simulation.nodes - alone

        val gap = simulation.runUntil { others.all { it.groups.term(simulation.database) > oldTerm } }
        expectThat(gap).isLessThan(1_300)
        simulation.run(2_000)
        expectThat(alone.signals).contains(Signal.DurabilityNotReached(attempt))
        expectThat(alone.groups.term(simulation.database)).isEqualTo(Term(1))
    }

    // Guards against a failover caused by one slow link, which would interrupt all other domains.
    @Test
    fun `slowness seen from one domain only replaces nobody`() {
        val slow = nodes.first { it.domain != old.domain }
        simulation.slowness[setOf(slow.domain, old.domain)] = 700
        simulation.run(10_000)

        val views = slow.groups.servers(simulation.database, MonotonicTime(simulation.now))
        expectThat(views.filter { it.reachable }).hasSize(2)
        expectThat(nodes.map { it.groups.term(simulation.database) }).all { isEqualTo(oldTerm) }
        expectThat(simulation.platform.record("group/jobs")?.term).isEqualTo(oldTerm)
    }

    // Guards against a term left claimed for good by a proposer that stopped, and against harm when that one goes on.
    @Test
    fun `the term of a frozen proposer is passed over and its resumption does no harm`() {
        old.up = false
        simulation.runUntil { nodes.any { it.failover is FailoverState.Fencing } }
        val frozen = nodes.first { it.failover is FailoverState.Fencing }.apply { freeze() }
        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(6_000)
        expectThat(simulation.primary.term).isEqualTo(Term(3))
        val replacement = simulation.primary
        simulation.run(3_000)
        frozen.resume()
        simulation.run(3_000)

        expectThat(simulation.primary).isEqualTo(replacement)
        expectThat(nodes.map { it.groups.primary(simulation.database) }).all { isEqualTo(replacement.name) }
        expectThat(simulation.servers.filter { it.up && it.role == ServerRole.PRIMARY }).hasSize(1)
    }

    // Guards against two primaries in one term when monitors that cannot reach each other propose at the same time.
    @Test
    fun `two proposers that do not hear each other promote one server per term`() {
        val others = nodes.filter { it.domain != old.domain }.map { it.domain }
        simulation.mutedPeers += others.toSet()
        old.up = false
        simulation.awaitPrimary(above = oldTerm)
        simulation.run(5_000)

        val promotions = simulation.servers.flatMap { it.promotedIn }
        expectThat(promotions.distinct()).isEqualTo(promotions)
        expectThat(nodes.map { it.groups.primary(simulation.database) }.distinct()).hasSize(1)
    }

    // Guards against a loser of a claim that waits for good for the winner, which died.
    @Test
    fun `the loser of a claim goes on when the winner dies`() {
        simulation.mutedPeers += nodes.filter { it.domain != old.domain }.map { it.domain }.toSet()
        simulation.platform.delay = 200
        nodes.first { it.domain == old.domain }.freeze()
        old.up = false
        simulation.runUntil { nodes.any { it.failover is FailoverState.Claiming } }
        nodes.first { it.failover is FailoverState.Claiming }.freeze()

        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(8_000)
        expectThat(simulation.primary.term).isEqualTo(Term(3))
    }

    // Guards against a promotion decided with what was known before this process was paused.
    @Test
    fun `a process that was paused probes before it suspects`() {
        // The last answers of the primary arrive before the pause, and the first ones after it later than the others.
        simulation.isolate(old.domain)
        simulation.run(500)
        simulation.cuts.clear()
        nodes.forEach { simulation.slowness[setOf(it.domain, old.domain)] = 200 }
        nodes.forEach { it.freeze() }
        simulation.run(30_000)
        nodes.forEach { it.resume() }
        simulation.run(3_000)

        expectThat(nodes.map { it.groups.term(simulation.database) }).all { isEqualTo(oldTerm) }
        expectThat(simulation.platform.record("group/jobs")?.term).isEqualTo(oldTerm)
    }

    // Guards against new work on a primary whose host is about to disappear.
    @Test
    fun `a leaving primary is replaced while it still works`() {
        simulation.run(2_000)
        simulation.replicas.forEach { it.stalled = true }
        old.write()
        old.leaving = true

        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(2_000)
        expectThat(simulation.primary).isNotEqualTo(old)
        simulation.run(5_000)
        expectThat(simulation.primary.term).isEqualTo(Term(2))
    }

    // Guards against a replica that is reachable but never catches up again.
    @Test
    fun `a replica that forgot whom it follows is told again`() {
        val replica = simulation.replicas.first()
        simulation.run(1_000)
        replica.follows = null
        old.write()
        simulation.run(4_000)

        expectThat(replica.log).isEqualTo(old.log)
    }

    // Guards against a server that stays out of its group because a proposer fenced it and died.
    @Test
    fun `a server fenced alone gets back into the group`() {
        val stray = simulation.replicas.first()
        stray.fenceFor(Term(2), nodes.last().identity)
        simulation.run(8_000)

        expectThat(simulation.servers.map { it.term }.distinct()).hasSize(1)
        expectThat(simulation.replicas.map { it.follows }).all { isEqualTo(simulation.primary.name) }
    }

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

    // Guards against promotions that were not agreed through the platform, and against its outage stopping a group.
    @Test
    fun `while the platform is down writes go on and nobody is promoted`() {
        simulation.platform.down = true
        simulation.run(10_000)
        val attempt = node.write(old)
        simulation.run(50)
        expectThat(node.signals).contains(Signal.DurabilityReached(attempt))

        old.up = false
        simulation.run(10_000)
        expectThat(simulation.servers.maxOf { it.term }).isEqualTo(oldTerm)

        simulation.platform.down = false
        simulation.awaitPrimary(above = oldTerm)
        expectThat(simulation.primary.term).isGreaterThan(oldTerm)
    }
}
