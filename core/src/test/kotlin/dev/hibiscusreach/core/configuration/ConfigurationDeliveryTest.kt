package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.membership.TestFleet
import dev.hibiscusreach.core.model.Caller
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRule
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Rules
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class ConfigurationDeliveryTest {
    private val fleet = TestFleet()
    private val large = configuration(generation = 1, databases = 1_600, limit = 4)

    // Guards against a configuration that cannot be sent because it is too large for a frame, and against edits that
    // saturate the link between regions because each one sends the whole configuration.
    @Test
    fun `a large configuration is sent in frames below 1 MiB and an edit of it in a message below 1 KiB`() {
        val nodes = fleet.startAll(count = 8)
        fleet.platform.store(large)
        fleet.run(seconds = 2)
        expectThat(nodes).all { get { state.configuration.index.configuration }.isEqualTo(large) }
        expectThat(nodes.flatMap { it.sent }.maxOf { size(it.message) }).isLessThan(MEBIBYTE)
        nodes.forEach { it.sent.clear() }

        val edited = configuration(generation = 2, databases = 1_599, limit = 8)
        fleet.platform.store(edited)
        fleet.run(seconds = 1)

        expectThat(nodes).all { get { state.configuration.index.configuration }.isEqualTo(edited) }
        expectThat(nodes.flatMap { it.sent }.maxOf { size(it.message) }).isLessThan(KIBIBYTE)
    }

    // Guards against changes that are applied to a generation other than the one they are based on.
    @Test
    fun `a process that missed many edits gets the whole configuration`() {
        val nodes = fleet.startAll(count = 4, domains = listOf("yard", "dublin"))
        fleet.platform.store(configuration(generation = 1, databases = 3, limit = 1))
        fleet.run(seconds = 1)
        fleet.isPartitioned = { from, to -> from != to && (from == "dublin" || to == "dublin") }
        (2L..40L).forEach {
            fleet.platform.store(configuration(it, databases = it.toInt(), limit = it.toInt()))
            fleet.run(seconds = 1)
        }

        fleet.isPartitioned = { _, to -> to == "platform" }
        fleet.run(seconds = 15)

        val expected = configuration(generation = 40, databases = 40, limit = 40)
        expectThat(nodes).all { get { state.configuration.index.configuration }.isEqualTo(expected) }
    }

    private fun configuration(generation: Long, databases: Int, limit: Int): Configuration {
        val groups =
            (1..databases).map { number ->
                val servers = (1..3).map { Examples.server("database-$number-$it", port = number) }
                DatabaseGroup(DatabaseName("database-$number"), servers)
            }
        val callers = (1..500).map { CallerName("caller-$it") }
        val inventory = Examples.inventory.copy(databaseGroups = groups, callers = callers.map(::Caller))
        return Configuration(generation, inventory, Rules(listOf(CallerRule(callers.first(), limit))))
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun size(message: PeerMessage): Int = Cbor.encodeToByteArray(message).size

    private companion object {
        const val KIBIBYTE = 1_024
        const val MEBIBYTE = KIBIBYTE * KIBIBYTE
    }
}
