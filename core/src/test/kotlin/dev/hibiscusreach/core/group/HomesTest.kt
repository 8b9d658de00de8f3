package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.membership.Peer
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class HomesTest {
    private val simulation = GroupSimulation().apply { awaitPrimary() }
    private val node = simulation.nodes.first()

    // Guards against failing requests in flight when the home moves, and against state that is never dropped.
    @Test
    fun `a former home completes its requests and then drops the group`() {
        val newPeers = (1..20).map { NodeIdentity(Endpoint("10.0.0.2", it), startedAtMillis = 1, nonce = 1) }
        node.addPeers(newPeers.map { Peer(it, node.domain) })
        val attempt = node.write(simulation.primary)
        simulation.run(50)
        expectThat(node.signals).contains(Signal.DurabilityReached(attempt))

        simulation.run(6_000)
        expectThat(node.groups.databases).isEmpty()
        expectThat(node.groups.calls).isEmpty()
        expectThat(node.groups.primary(simulation.database)).isNull()
        val late = node.awaitDurability(simulation.primary.applied)
        expectThat(node.signals).contains(Signal.DurabilityNotReached(late))
    }

    // Guards against sending work to a server that the platform lists as leaving but whose own status does not say so.
    @Test
    fun `a server listed as leaving is shown as leaving`() {
        val leaving = simulation.replicas.first().name
        node.receive(Signal.LeavingServersListed(setOf(leaving)))

        val views = node.groups.servers(simulation.database, MonotonicTime(simulation.now))
        expectThat(views.filter { it.leaving }.map { it.name }).isEqualTo(listOf(leaving))
    }

    // Guards against sending a returning server its full share of reads while its caches are cold.
    @Test
    fun `a server that comes back gets a growing share of reads`() {
        val replica = simulation.replicas.first()
        replica.up = false
        simulation.run(2_000)
        replica.up = true
        val shares = (1..3).map { simulation.run(4_000).let { share(replica) } }

        expectThat(shares).isEqualTo(shares.sorted())
        expectThat(shares.first() < FULL && shares.last() == FULL).isEqualTo(true)
    }

    // Guards against a selection that depends on the order of changes, so that two proxies act as the home.
    @Test
    fun `homes selected incrementally equal the homes selected at once`() {
        val groups = (1..50).map { simulation.group.copy(name = DatabaseName("database-$it")) }
        val index = ConfigurationIndex(Configuration(generation = 1, Inventory(databaseGroups = groups)))
        val nodes = (1..9).map { NodeIdentity(Endpoint("10.0.0.3", it), startedAtMillis = 1, nonce = 1) }
        val everySecond = nodes.filterIndexed { at, _ -> at % 2 == 0 }
        val steps = listOf(nodes.take(3), nodes.drop(1), everySecond, nodes.reversed())

        steps.fold(HomeSelection()) { selection, candidates ->
            selection.updated(index, node.domain, candidates).also {
                expectThat(it.homes).isEqualTo(HomeSelection().updated(index, node.domain, candidates).homes)
            }
        }
    }

    private fun share(server: FakeServer): Int =
        node.groups
            .servers(simulation.database, MonotonicTime(simulation.now))
            .first { it.name == server.name }
            .warmUpPercent

    private companion object {
        const val FULL = 100
    }
}
