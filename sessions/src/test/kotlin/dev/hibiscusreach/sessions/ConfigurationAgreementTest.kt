package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RoutingConfiguration
import dev.hibiscusreach.sessions.model.SessionReply
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

/**
 * A change of the configuration reaches the proxies of a fleet one after another while statements are forwarded between
 * them. Guards against hosts that show a version of the configuration to servers and then act by an older one.
 */
class ConfigurationAgreementTest {
    private val fleet = FleetFixture(domains = 3, hostsPerDomain = 4).also { it.advance(6_000) }
    private val homes = fleet.homes()
    private val front = fleet.nodes.first { it !in homes }
    private val read = CallerStatement.Run(Access.READ, "READ a")
    private val added = DatabaseName("added")
    private val existing = FleetFixture.database(GroupName("group-1"))

    private val newer = fleet.configuration(version = 2, added = listOf(added))
    private val withoutRoute = fleet.configuration(version = 2, removed = setOf(existing))

    private fun install(configuration: RoutingConfiguration, nodes: List<String>) =
        nodes.forEach { fleet.feed(it, SessionEvent.ConfigurationRead(configuration)) }

    private fun readers(): List<String> =
        fleet.otherEffects.filter { it.second == SessionEffect.ReadConfiguration }.map { it.first }

    private fun refusal(session: SessionNumber): ErrorKind? = (fleet.reply(session) as? SessionReply.Refused)?.kind

    @Test
    fun `homes run no statement of a route before they know it, and read the configuration`() {
        install(newer, listOf(front))
        val session = fleet.session(front, database = added)
        val before = fleet.served.toMap()
        fleet.send(front, session, read)
        expectThat(fleet.served.toMap()).isEqualTo(before)
        expectThat(readers().filter { it in homes }).isNotEmpty()
    }

    @Test
    fun `a statement of a new route is served once a home knows the route`() {
        install(newer, listOf(front))
        val session = fleet.session(front, database = added)
        fleet.send(front, session, read)
        install(newer, homes)
        fleet.advance(100)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
    }

    @Test
    fun `a statement of a removed route is not run by homes that know of the removal`() {
        install(withoutRoute, homes)
        val session = fleet.session(front)
        val before = fleet.served.toMap()
        fleet.send(front, session, read)
        expectThat(fleet.served.toMap()).isEqualTo(before)
        expectThat(readers()).contains(front)
        install(withoutRoute, listOf(front))
        fleet.advance(100)
        expectThat(refusal(session)).isEqualTo(ErrorKind.UNKNOWN_DATABASE)
    }

    @Test
    fun `a route that is the same in both versions is served at once`() {
        install(newer, listOf(front))
        val session = fleet.session(front)
        fleet.send(front, session, read)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
        expectThat(readers()).isEmpty()
    }

    @Test
    fun `a transaction that began before its route was removed runs`() {
        val session = fleet.session(front)
        fleet.send(front, session, CallerStatement.Begin(readOnly = false))
        install(withoutRoute, homes)
        fleet.send(front, session, read)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
    }

    @Test
    fun `homes that have lost the store run no statement of a newer route either`() {
        install(newer, listOf(front))
        homes.forEach { fleet.feed(it, SessionEvent.FleetReadFailed("no answer")) }
        val session = fleet.session(front, database = added)
        val before = fleet.served.toMap()
        fleet.send(front, session, read)
        expectThat(fleet.served.toMap()).isEqualTo(before)
        install(newer, homes)
        fleet.advance(100)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
    }
}
