package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty

/** Load on a fleet whose proxies forward statements to the homes of groups; homes fail, stop and move. */
class HomeForwardingTest {
    private val fleet = FleetFixture(domains = 3, hostsPerDomain = 4).also { it.advance(6_000) }
    private val homes = fleet.homes()
    private val front = fleet.nodes.first { it !in homes && it.startsWith("domain-1") }
    private val nearHomes = homes.filter { it.startsWith("domain-1") }

    private val read = CallerStatement.Run(Access.READ, "READ a")
    private val write = CallerStatement.Run(Access.WRITE, "WRITE a b")

    private fun refusal(session: SessionNumber): ErrorKind? =
        (fleet.reply(session) as? SessionReply.Refused)?.kind

    /** The home to which the preferred statements of [front] go. */
    private fun preferredHome(): String {
        val before = fleet.served.toMap()
        fleet.send(front, fleet.session(front), read)
        return fleet.served.keys.single { fleet.served[it] != before[it] }
    }

    @Test
    fun `each failure domain has two homes of a group and the others open no connections to its servers`() {
        expectThat(homes).hasSize(6)
        val connected = fleet.nodes.filter { fleet.states.getValue(it).connections.isNotEmpty() }
        expectThat(connected - homes.toSet()).isEmpty()
    }

    @Test
    fun `a statement is served through a home of the same failure domain`() {
        val session = fleet.session(front)
        fleet.send(front, session, write)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
        expectThat(nearHomes).contains(preferredHome())
    }

    @Test
    fun `a transaction runs at one home and ends there`() {
        val session = fleet.session(front)
        for (statement in listOf(CallerStatement.Begin(readOnly = false), write, read, CallerStatement.Commit)) {
            fleet.send(front, session, statement)
            expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
        }
        expectThat(fleet.reply(session)?.status).isEqualTo(TransactionStatus.NONE)
        expectThat(homes.sumOf { fleet.states.getValue(it).sessions.size }).isEqualTo(0)
    }

    @Test
    fun `all homes of a failure domain are lost - guards against statements that wait for hosts that are gone`() {
        nearHomes.forEach { fleet.lose(it) }
        val session = fleet.session(front)
        fleet.send(front, session, write)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
    }

    @Test
    fun `a write in flight at a lost home is in doubt, a read is tried at another home`() {
        val home = preferredHome()
        fleet.serversAnswer = false
        val reading = fleet.session(front)
        val writing = fleet.session(front)
        fleet.send(front, reading, read)
        fleet.send(front, writing, write)
        fleet.serversAnswer = true
        fleet.lose(home)
        expectThat(refusal(writing)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN)
        expectThat(fleet.reply(reading)).isA<SessionReply.Completed>()
    }

    @Test
    fun `a write that could not be sent to a lost home runs at another one - guards against needless doubt`() {
        val home = preferredHome()
        fleet.serversAnswer = false
        val session = fleet.session(front)
        fleet.send(front, session, write)
        fleet.serversAnswer = true
        fleet.lose(home, connected = false)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
    }

    @Test
    fun `a transaction ends with its home - guards against statements outside of their transaction`() {
        val session = fleet.session(front)
        fleet.send(front, session, CallerStatement.Begin(readOnly = false))
        fleet.send(front, session, write)
        homes.filter { fleet.states.getValue(it).sessions.isNotEmpty() }.forEach { fleet.lose(it) }
        fleet.send(front, session, write)
        expectThat(refusal(session)).isEqualTo(ErrorKind.TRANSACTION_ENDED)
    }

    @Test
    fun `a stopping home accepts no further statements and finishes its transactions`() {
        val session = fleet.session(front)
        fleet.send(front, session, CallerStatement.Begin(readOnly = false))
        fleet.send(front, session, write)
        val home = homes.single { fleet.states.getValue(it).sessions.isNotEmpty() }
        fleet.feed(home, SessionEvent.StopRequested)
        val other = fleet.session(front)
        fleet.send(front, other, write)
        expectThat(fleet.reply(other)).isA<SessionReply.Completed>()
        fleet.send(front, session, CallerStatement.Commit)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
    }

    @Test
    fun `another proxy becomes a home in place of a stopping one`() {
        val home = nearHomes.first()
        fleet.feed(home, SessionEvent.StopRequested)
        fleet.advance(2_000)
        expectThat(fleet.homes().filter { it.startsWith("domain-1") } - home).hasSize(2)
    }

    @Test
    fun `a session that ends in a transaction frees the connection at its home`() {
        val session = fleet.session(front)
        fleet.send(front, session, CallerStatement.Begin(readOnly = false))
        fleet.send(front, session, write)
        fleet.feed(front, SessionEvent.SessionEnded(session))
        expectThat(
            homes.flatMap { fleet.states.getValue(it).connections.values }.filter { it.heldBy != null }
        ).isEmpty()
    }

    @Test
    fun `only homes are asked to fence a primary - guards against changes that wait for the whole fleet`() {
        val request = PeerRequest.Sighting(FleetFixture.server(GROUP, 1))
        homes.forEach { home ->
            val connection = fleet.states.getValue(home).connections.values.first()
            fleet.feed(
                home,
                SessionEvent.ConnectionLost(connection.number, ConnectionFailure.REFUSED)
            )
        }
        fleet.serversAnswer = false
        fleet.otherEffects.clear()
        fleet.advance(3_000)
        val asked =
            fleet.otherEffects
                .map { it.second }
                .filterIsInstance<SessionEffect.AskPeer>()
                .filter { it.request == request }
                .map { FleetFixture.nodeAt(it.peer) }
                .toSet()
        expectThat(asked).isNotEmpty()
        expectThat(asked - homes.toSet()).isEmpty()
    }

    @Test
    fun `connections to a server stay below its limit while hosts are lost and return`() {
        val fleet = FleetFixture(domains = 6, hostsPerDomain = 16, groups = 4, connectionLimit = 88)
        fleet.advance(6_000)
        fun flood() = fleet.nodes.filter { it !in fleet.lost }.forEachIndexed { index, node ->
            fleet.send(node, fleet.session(node, group = index % 4), write)
        }
        repeat(3) { round ->
            fleet.nodes.filterIndexed { index, _ -> index % 3 == round }.forEach { fleet.lose(it) }
            fleet.serversAnswer = false
            flood()
            fleet.advance(500)
            expectThat(fleet.connections().values.max()).isLessThanOrEqualTo(88)
            fleet.serversAnswer = true
            fleet.lost.toList().forEach { fleet.start(it) }
            fleet.advance(4_000)
            expectThat(fleet.connections().values.max()).isLessThanOrEqualTo(88)
        }
        val session = fleet.session(fleet.nodes.first())
        fleet.send(fleet.nodes.first(), session, write)
        expectThat(fleet.reply(session)).isA<SessionReply.Completed>()
    }

    private companion object {
        val GROUP = GroupName("group-1")
    }
}
