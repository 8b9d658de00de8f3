package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Term
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

class ProposerTest {
    private val simulation = GroupSimulation().apply { awaitPrimary() }
    private val old = simulation.primary
    private val oldTerm = old.term
    private val nodes = simulation.nodes

    private fun proposer() = nodes.first { it.failover is FailoverState.Fencing }

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

    // Guards against a proposer that goes on with an outdated term after a pause.
    @Test
    fun `a proposer frozen before the promotion resumes without harm`() {
        old.up = false
        simulation.runUntil { nodes.any { it.failover is FailoverState.Fencing } }
        val frozen = proposer().apply { freeze() }
        simulation.awaitPrimary(above = oldTerm)
        val replacement = simulation.primary
        simulation.run(3_000)
        frozen.resume()
        simulation.run(3_000)

        expectThat(simulation.primary).isEqualTo(replacement)
        expectThat(nodes.map { it.groups.primary(simulation.database) }).all { isEqualTo(replacement.name) }
        expectThat(simulation.servers.filter { it.up && it.role == ServerRole.PRIMARY }).hasSize(1)
    }

    // Guards against a term left claimed and fenced for good by a proposer that died.
    @Test
    fun `a term abandoned by its proposer is passed over`() {
        old.up = false
        simulation.runUntil { nodes.any { it.failover is FailoverState.Fencing } }
        proposer().freeze()

        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(6_000)
        expectThat(simulation.primary.term).isEqualTo(Term(3))
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
        old.leaving = true

        expectThat(simulation.awaitPrimary(above = oldTerm)).isLessThan(2_000)
        expectThat(simulation.primary).isNotEqualTo(old)
        simulation.run(5_000)
        expectThat(simulation.primary.term).isEqualTo(Term(2))
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
}
