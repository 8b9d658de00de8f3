package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.sessions.ProxyFixture.Companion.EAST
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP_RECORD
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SERVERS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.ProxyFixture.Companion.endpoint
import dev.hibiscusreach.sessions.ProxyFixture.Companion.server
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.Revision
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

/** Guards against a second primary beside a proxy that runs, but whose address refuses connections during a cut. */
class RefusedConnectionsTest {
    private val proxy = ProxyFixture().ready()
    private val fence = PeerRequest.Fence(GROUP.value, epoch = 2, planned = true)

    private fun answerFence(node: String, outcome: PeerOutcome) =
        proxy.feed(SessionEvent.PeerAnswered(endpoint(node), fence, outcome))

    private fun commandsToServers() = proxy.takeEffects().filterIsInstance<SessionEffect.SendControl>()

    private fun beginPlannedChange() {
        val leaving = SERVERS.map { if (it.name == PRIMARY) server(PRIMARY, EAST, ServerRole.PRIMARY, true) else it }
        proxy.feed(SessionEvent.ServersRead(leaving.associateBy { it.name }))
        proxy.advanceTime(1_000)
        proxy.feed(SessionEvent.FleetWritten(FleetKey.group(GROUP), WriteOutcome.Written(Revision(20))))
        proxy.readFleet(proxy.records(GROUP_RECORD.copy(epoch = 2, changedBy = proxy.peers.first())))
    }

    @Test
    fun `a change waits for the lease of a proxy that refuses connections - guards against two primaries`() {
        beginPlannedChange()
        answerFence("node-2", PeerOutcome.Answered(PeerAnswer.Done))
        answerFence("node-3", PeerOutcome.Refused)
        proxy.takeEffects()
        proxy.advanceTime(9_500)
        expectThat(commandsToServers()).isEmpty()
        proxy.advanceTime(700)
        expectThat(commandsToServers()).isNotEmpty()
    }

    @Test
    fun `the change of a proxy that refuses connections is taken over late - guards against rival changes`() {
        proxy.readFleet(proxy.records(GROUP_RECORD.copy(epoch = 2, changedBy = proxy.peers[1])))
        proxy.takeEffects()
        repeat(9) {
            proxy.feed(SessionEvent.PeerAnswered(endpoint("node-2"), PeerRequest.Ping, PeerOutcome.Refused))
            proxy.advanceTime(500)
        }
        expectThat(writtenGroups()).isEmpty()
        proxy.advanceTime(1_200)
        val takenOver = GROUP_RECORD.copy(epoch = 3, changedBy = proxy.peers.first())
        expectThat(writtenGroups()).isEqualTo(listOf(takenOver))
    }

    @Test
    fun `peers that refuse connections count as homes - guards against a primary that one isolated proxy replaces`() {
        proxy.send(proxy.session(1, SIGN_OFFS), WRITE)
        val sighting = PeerRequest.Sighting(PRIMARY)
        repeat(4) {
            proxy.advanceTime(1_000)
            for (node in listOf("node-2", "node-3")) {
                proxy.feed(SessionEvent.PeerAnswered(endpoint(node), sighting, PeerOutcome.Refused))
            }
            proxy.readFleet()
        }
        val effects = proxy.takeEffects()
        expectThat(effects.filterIsInstance<SessionEffect.AskPeer>().map { it.request }).contains(sighting)
        expectThat(groupsIn(effects)).isEmpty()
    }

    private fun writtenGroups() = groupsIn(proxy.takeEffects())

    private fun groupsIn(effects: List<SessionEffect>): List<FleetRecord.Group> =
        effects.filterIsInstance<SessionEffect.WriteFleet>().map { it.record }.filterIsInstance<FleetRecord.Group>()
}
