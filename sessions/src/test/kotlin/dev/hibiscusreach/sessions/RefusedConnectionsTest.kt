package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.sessions.ProxyFixture.Companion.EAST
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP_RECORD
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SERVERS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.endpoint
import dev.hibiscusreach.sessions.ProxyFixture.Companion.server
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.Revision
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
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
        answerFence("node-3", PeerOutcome.NotRunning)
        proxy.takeEffects()
        proxy.advanceTime(9_500)
        expectThat(commandsToServers()).isEmpty()
        proxy.advanceTime(700)
        expectThat(commandsToServers()).isNotEmpty()
    }
}
