package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class DurabilityTest {
    private val simulation = GroupSimulation().apply { awaitPrimary() }
    private val database = simulation.database
    private val primary = simulation.primary
    private val primaryTerm = primary.term
    private val node = simulation.nodes.first()

    // Guards against acknowledging a write that only the primary holds.
    @Test
    fun `a write that no replica holds is not durable`() {
        simulation.replicas.forEach { it.stalled = true }
        val attempt = node.write(primary)
        simulation.run(900)
        expectThat(node.signals).doesNotContain(Signal.DurabilityReached(attempt))
        simulation.run(200)
        expectThat(node.signals).contains(Signal.DurabilityNotReached(attempt))
    }

    // Guards against a number of Confirm commands that grows with the number of waiting writes.
    @Test
    fun `waiting writes share one confirm per replica`() {
        // Confirm is sent to a replica only after it is known to be in the current term.
        simulation.run(100)
        simulation.replicas.forEach { it.stalled = true }
        repeat(50) { node.write(primary) }

        val confirms = node.commands.filter { it is ControlCommand.Confirm }
        expectThat(confirms.size).isEqualTo(2)
        simulation.run(800)
        expectThat(node.commands.filterIsInstance<ControlCommand.Confirm>().last().position).isEqualTo(primary.applied)
        simulation.replicas.forEach { it.stalled = false }
        simulation.run(50)
        expectThat(node.signals.filterIsInstance<Signal.DurabilityReached>().size).isEqualTo(50)
    }

    // Guards against treating entries of a replaced primary as durable because their position is below the new term.
    @Test
    fun `entries that only a replaced primary has are neither durable nor of a known age`() {
        simulation.run(1_000)
        simulation.replicas.forEach { it.stalled = true }
        node.write(primary)
        val diverged = primary.applied
        simulation.run(50)
        primary.up = false
        simulation.awaitPrimary(above = primaryTerm)
        simulation.servers.forEach { it.stalled = false }
        val survivor = simulation.nodes.first { it.domain != primary.domain }
        survivor.write(simulation.primary)
        simulation.run(1_000)

        expectThat(survivor.groups.durable(database)).isGreaterThan(diverged)
        expectThat(survivor.groups.isDurable(database, diverged)).isFalse()
        expectThat(survivor.groups.ageOf(database, diverged, MonotonicTime(simulation.now))).isNull()
        val attempt = survivor.awaitDurability(diverged)
        expectThat(survivor.signals).contains(Signal.DurabilityNotReached(attempt))
    }

    // Guards against a replaced primary that returns with entries that only it has and is read or followed.
    @Test
    fun `a replaced primary returns as a replica without the entries that only it had`() {
        simulation.isolate(primary.domain)
        val diverged = primary.write()
        val others = simulation.nodes.filter { it.domain != primary.domain }
        simulation.runUntil { others.all { it.groups.term(database) > primaryTerm } }
        others.first().write(simulation.primary)
        simulation.partitions.clear()
        simulation.run(2_000)

        expectThat(primary.role).isEqualTo(ServerRole.REPLICA)
        expectThat(primary.log).doesNotContain(diverged)
        expectThat(primary.log).isEqualTo(simulation.primary.log)
        val view = others.first().groups.servers(
            database,
            MonotonicTime(simulation.now)
        ).first { it.name == primary.name }
        expectThat(view.reachable).isTrue()
        expectThat(view.warmUpPercent).isLessThan(50)
    }

    // Guards against reporting the data of an isolated primary as fresh.
    @Test
    fun `the age of an isolated primary's data grows and its leadership is not confirmed`() {
        simulation.run(1_000)
        val isolated = simulation.nodes.first { it.domain == primary.domain }
        expectThat(isolated.ageAt(primary.applied)).isNotNull().isLessThan(Millis(300))
        simulation.isolate(primary.domain)
        simulation.run(5_000)
        val position = primary.write()
        simulation.run(500)
        val attempt = isolated.awaitLeadership()
        simulation.run(1_100)

        expectThat(isolated.ageAt(position)).isNotNull().isGreaterThan(Millis(5_000))
        expectThat(isolated.signals).contains(Signal.LeadershipNotConfirmed(attempt))
    }

    // Guards against a read with a maximum age of 0 that has to wait for the next probe period.
    @Test
    fun `leadership is confirmed within a round trip`() {
        simulation.run(1_100)
        val attempt = node.awaitLeadership()
        simulation.run(5)

        expectThat(node.signals).contains(Signal.LeadershipConfirmed(attempt))
    }

    // Guards against a lagging replica that delays every write, and against reporting its data as fresh.
    @Test
    fun `a lagging replica delays no write and the age of its data covers its lag`() {
        val replica = simulation.replicas.first()
        simulation.run(1_000)
        replica.stalled = true
        repeat(40) {
            val attempt = node.write(primary)
            simulation.run(100)
            expectThat(node.signals).contains(Signal.DurabilityReached(attempt))
        }

        expectThat(node.ageAt(replica.applied)).isNotNull().isGreaterThan(Millis(4_000)).isLessThan(Millis(5_000))
        expectThat(node.ageAt(primary.applied)).isNotNull().isLessThan(Millis(400))
    }

    // Guards against losing acknowledged writes in a failover while either of the replicas lags behind.
    @Test
    fun `no acknowledged write is lost over repeated failovers`() {
        val acknowledged = mutableListOf<Position>()
        repeat(6) {
            val current = simulation.primary
            val writer = simulation.nodes[it % simulation.nodes.size]
            simulation.replicas[it % 2].stalled = true
            val attempt = writer.write(current)
            simulation.run(30)
            if (Signal.DurabilityReached(attempt) in writer.signals) acknowledged += current.applied
            current.up = false
            simulation.awaitPrimary(above = current.term)
            simulation.servers.forEach { server -> server.stalled = false }
            current.up = true
            simulation.run(1_500)
        }

        expectThat(acknowledged.size).isEqualTo(6)
        expectThat(acknowledged).all { get { simulation.primary.log.contains(this) }.isTrue() }
    }

    private fun GroupSimulation.Node.ageAt(position: Position): Millis? =
        groups.ageOf(database, position, MonotonicTime(simulation.now))
}
