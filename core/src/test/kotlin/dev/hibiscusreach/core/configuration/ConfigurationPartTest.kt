package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.membership.TestFleet
import dev.hibiscusreach.core.membership.TestNode
import dev.hibiscusreach.core.membership.Watchers
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.FailureDomainName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan

/** The simulated fleet checks after every event that no process returned to a lower generation. */
class ConfigurationPartTest {
    private val fleet = TestFleet()
    private val platform = fleet.platform

    // Guards against an accepted edit that does not reach some processes.
    @Test
    fun `an accepted edit is in effect on every process within a second`() {
        val nodes = fleet.startAll(count = 8)

        store(generation = 1)
        fleet.run(seconds = 1)

        expectInEffect(nodes, generation = 1)
    }

    // Guards against a platform load that grows with the number of processes.
    @Test
    fun `only the two watchers of each failure domain read the configuration`() {
        val nodes = fleet.startAll(count = 12)
        val watchers = listOf("yard", "dublin").flatMap { Watchers.of(nodes[0].state, FailureDomainName(it)) }
        fleet.run(seconds = 60)
        platform.calls.clear()

        store(generation = 1)
        fleet.run(seconds = 60)

        expectInEffect(nodes, generation = 1)
        expectThat(platform.callingNodes { it !is PlatformCall.ListHosts }).containsExactlyInAnyOrder(watchers)
        // Per watcher: two long polls and two reads of the root a minute; after the edit one more poll and the chunk.
        expectThat(platform.calls.count { it.call !is PlatformCall.ListHosts }).isLessThan(watchers.size * 9)
    }

    // Guards against a process that cannot serve requests because it started during an outage of the platform.
    @Test
    fun `a process that starts while the platform is down gets the configuration from peers`() {
        store(generation = 3)
        fleet.startAll(count = 6)
        platform.isDown = true

        val late = fleet.start(7)
        fleet.run(seconds = 2)

        expectThat(late.generation).isEqualTo(3)
    }

    // Guards against watchers that give up, or wait too long, after an outage.
    @Test
    fun `an edit after a long outage is in effect within 5 seconds`() {
        val nodes = fleet.startAll(count = 6)
        platform.isDown = true
        fleet.run(seconds = 600)

        platform.isDown = false
        store(generation = 1)
        fleet.run(seconds = 5)

        expectInEffect(nodes, generation = 1)
    }

    // Guards against a failure domain that keeps an old configuration while it can still reach other domains.
    @Test
    fun `a failure domain without the platform gets edits from the other domains`() {
        val nodes = fleet.startAll(count = 8)
        fleet.isPartitioned = { from, to -> from == "yard" && to == "platform" }

        store(generation = 1)
        fleet.run(seconds = 1)

        expectInEffect(nodes, generation = 1)
    }

    // Guards against edits that no process reads because all watchers of the failure domain crashed.
    @Test
    fun `other processes watch when the watchers are gone`() {
        val nodes = fleet.startAll(count = 8, domains = listOf("yard"))
        val watchers = nodes.filter { Watchers.isWatcher(it.state) }
        watchers.forEach(fleet::kill)
        fleet.run(seconds = 5)

        store(generation = 1)
        fleet.run(seconds = 1)

        expectInEffect(nodes - watchers, generation = 1)
    }

    // Guards against the loss of an accepted edit when the store is restored from a backup.
    @Test
    fun `a store with a lower generation gets the one in effect written back although answers are lost`() {
        store(generation = 1)
        val backup = platform.objects.toMap()
        val nodes = fleet.startAll(count = 6)
        store(generation = 2)
        fleet.run(seconds = 1)
        platform.objects.clear()
        platform.objects += backup
        platform.dropsPutAnswers = true

        fleet.run(seconds = 40)
        platform.dropsPutAnswers = false
        fleet.run(seconds = 5)

        expectThat(platform.storedGeneration()).isEqualTo(2)
        expectInEffect(nodes, generation = 2)
    }

    // Guards against late or duplicate answers and messages that revert an edit.
    @Test
    fun `late watch events and stale peers do not lower the generation`() {
        store(generation = 1)
        val nodes = fleet.startAll(count = 4)
        val old = platform.objects.getValue(ConfigurationCodec.ROOT_KEY)
        store(generation = 2)
        fleet.run(seconds = 1)

        nodes.forEach { node ->
            (1L..9L).forEach { call ->
                fleet.deliver(node, Event.PlatformAnswered(PlatformCallNumber(PartName.CONFIGURATION, call), old))
            }
            receive(node, PeerMessage.ConfigurationDelivered(Configuration(generation = 1)))
            receive(node, PeerMessage.ConfigurationAnnounced(generation = 1))
        }
        fleet.run(seconds = 1)

        expectInEffect(nodes, generation = 2)
    }

    // Guards against a process that waits forever for a generation that no peer has.
    @Test
    fun `an announced generation that no peer delivers does not block the next edit`() {
        val nodes = fleet.startAll(count = 4)
        nodes.forEach { receive(it, PeerMessage.ConfigurationAnnounced(generation = 1_000)) }

        fleet.run(seconds = 10)
        store(generation = 1)
        fleet.run(seconds = 2)

        expectInEffect(nodes, generation = 1)
    }

    // Guards against an invalid root that stops the process from serving or ends the watch.
    @Test
    fun `a root that cannot be read changes nothing and is read again`() {
        store(generation = 1)
        val nodes = fleet.startAll(count = 4)
        platform.answer(PlatformCall.Put(ConfigurationCodec.ROOT_KEY, "{]", expectedVersion = 1))
        fleet.run(seconds = 10)
        expectInEffect(nodes, generation = 1)

        store(generation = 2)
        fleet.run(seconds = 5)

        expectInEffect(nodes, generation = 2)
    }

    // Guards against a proxy that serves requests before it knows any rules.
    @Test
    fun `nothing is loaded before the first configuration`() {
        val nodes = fleet.startAll(count = 2)

        expectThat(nodes).all { get { state.configuration.isLoaded }.isFalse() }
    }

    private fun store(generation: Long) =
        platform.store(Configuration(generation, Examples.inventory, Examples.rules))

    private fun receive(node: TestNode, message: PeerMessage) {
        val peer = node.membership.livePeers().first().node
        fleet.deliver(node, Event.PeerMessageReceived(peer, message))
    }

    private fun expectInEffect(nodes: List<TestNode>, generation: Long) {
        expectThat(nodes).all { get { this.generation }.isEqualTo(generation) }
    }
}
