package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

class RandomFailuresTest {
    private class Acknowledged(val position: Position, val at: Long)

    /** One simulation in which servers, links, homes and the platform fail at random while writes continue. */
    private class Run(seed: Int) {
        val simulation = GroupSimulation(seed = seed)
        val acknowledged = mutableListOf<Acknowledged>()
        val wrongAges = mutableListOf<String>()
        private val random = Random(seed)
        private val pending = mutableMapOf<AttemptNumber, Position>()
        private val signalsRead = mutableMapOf<GroupSimulation.Node, Int>()

        fun step() {
            write()
            simulation.run(random.nextLong(1, 60))
            collectAcknowledged()
            recordWrongAges()
        }

        fun injectFault() {
            val domain = simulation.domains.random(random)
            when (random.nextInt(8)) {
                0, 1 -> simulation.servers.random(random).up = false
                2 -> simulation.isolate(domain)
                3 -> simulation.partitions += setOf(domain, (simulation.domains - domain).random(random))
                4 -> simulation.nodes.random(random).pause()
                5 -> simulation.servers.random(random).stalled = true
                6 -> simulation.platform.putAnswersToLose = 2
                else -> simulation.extraLatency[setOf(domain, simulation.domains.random(random))] = random.nextLong(900)
            }
        }

        fun endFaults() {
            simulation.partitions.clear()
            simulation.extraLatency.clear()
            simulation.nodes.filter { it.paused }.forEach { it.resume() }
            simulation.servers.forEach {
                it.up = true
                it.stalled = false
            }
        }

        private fun write() {
            val node = simulation.nodes.filter { !it.paused }.randomOrNull(random) ?: return
            val target = simulation.servers.find { it.name == node.groups.primary(simulation.database) } ?: return
            if (target.up && target.role == ServerRole.PRIMARY && simulation.isConnected(node.domain, target.domain)) {
                pending[node.write(target)] = target.applied
            }
        }

        private fun collectAcknowledged() {
            simulation.nodes.forEach { node ->
                node.signals.drop(signalsRead[node] ?: 0).filterIsInstance<Signal.DurabilityReached>().forEach {
                    acknowledged += Acknowledged(pending.getValue(it.attempt), simulation.now)
                }
                signalsRead[node] = node.signals.size
            }
        }

        private fun recordWrongAges() {
            val now = MonotonicTime(simulation.now)
            for (node in simulation.nodes.filter { !it.paused }) {
                for (server in simulation.servers) {
                    val age = node.groups.ageOf(simulation.database, server.applied, now) ?: continue
                    val covered = acknowledged.filter { it.at < simulation.now - age.value }
                    if (!covered.all { server.holds(it.position) }) wrongAges += "${server.applied} by ${node.domain}"
                }
            }
        }
    }

    // Guards against lost acknowledged writes, two primaries in one term, and ages that are too low, all under
    // combinations of failures.
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10])
    fun `random failures lose no acknowledged write and promote one server per term`(seed: Int) {
        val run = Run(seed)
        run.simulation.awaitPrimary()
        repeat(6) {
            repeat(60) { run.step() }
            run.injectFault()
            repeat(60) { run.step() }
            run.injectFault()
            repeat(60) { run.step() }
            run.endFaults()
        }
        run.simulation.run(10_000)

        val primary = run.simulation.primary
        val promotions = run.simulation.servers.flatMap { it.promotedIn.distinct() }
        expectThat(run.acknowledged.size).isGreaterThan(200)
        expectThat(run.acknowledged.map { it.position }.filterNot(primary::holds)).isEmpty()
        expectThat(run.wrongAges.distinct()).isEmpty()
        expectThat(promotions.distinct()).isEqualTo(promotions)
        expectThat(run.simulation.nodes.map { it.groups.primary(run.simulation.database) }.distinct()).hasSize(1)
        expectThat(run.simulation.servers.map { it.log }.distinct()).hasSize(1)
    }
}
