package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP_RECORD
import dev.hibiscusreach.sessions.ProxyFixture.Companion.NEAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SERVERS
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.ServerStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/**
 * Guards against a replaced primary that goes on with an old log, because it was down when it was told to step down. It
 * would be promoted later without the commits that were acknowledged meanwhile.
 */
class RepeatedStepDownTest {
    private val replaced = GROUP_RECORD.copy(epoch = 2, term = Term(2), primary = NEAR_REPLICA)
    private val proxy = ProxyFixture(proxies = 1).ready(group = replaced)

    private fun readServers(vararg roles: Pair<ServerName, ServerRole>) {
        val byName = roles.toMap()
        val servers = SERVERS.map { it.copy(role = byName[it.name] ?: ServerRole.REPLICA) }
        proxy.feed(SessionEvent.ServersRead(servers.associateBy { it.name }))
        proxy.takeEffects()
    }

    private fun stepDowns(): List<Pair<ServerName, ControlRequest>> =
        proxy
            .takeEffects()
            .filterIsInstance<SessionEffect.SendControl>()
            .filter { it.command is ControlRequest.StepDown }
            .map { it.server.name to it.command }

    @Test
    fun `a replaced server that returns as a primary is told to step down to the record's term`() {
        readServers(PRIMARY to ServerRole.PRIMARY, NEAR_REPLICA to ServerRole.PRIMARY)
        proxy.advanceTime(1_200)
        expectThat(stepDowns()).isEqualTo(listOf(PRIMARY to ControlRequest.StepDown(2)))
    }

    @Test
    fun `it is told again each second until its entry reports the replica role`() {
        readServers(PRIMARY to ServerRole.PRIMARY, NEAR_REPLICA to ServerRole.PRIMARY)
        proxy.advanceTime(3_200)
        expectThat(stepDowns()).hasSize(3)
        readServers(NEAR_REPLICA to ServerRole.PRIMARY)
        proxy.advanceTime(3_000)
        expectThat(stepDowns()).isEmpty()
    }

    @Test
    fun `an entry that reports the role late, as that of a new primary, leads to no request`() {
        readServers(PRIMARY to ServerRole.PRIMARY)
        proxy.advanceTime(900)
        readServers(NEAR_REPLICA to ServerRole.PRIMARY)
        proxy.advanceTime(3_000)
        expectThat(stepDowns()).isEmpty()
    }

    @Test
    fun `the server whose promotion is requested is not told to step down`() {
        val intent = replaced.copy(epoch = 3, changedBy = ProxyFixture.identity("node-9"), successor = PRIMARY)
        proxy.readFleet(proxy.records(intent))
        readServers(PRIMARY to ServerRole.PRIMARY, NEAR_REPLICA to ServerRole.PRIMARY)
        proxy.advanceTime(3_000)
        expectThat(stepDowns()).isEmpty()
    }

    // Guards against writes at a primary that was replaced by a promotion which took effect after its change had ended.
    @Test
    fun `a server that answers that it leads a later term has replaced the recorded primary`() {
        readServers(PRIMARY to ServerRole.PRIMARY, NEAR_REPLICA to ServerRole.PRIMARY)
        proxy.advanceTime(1_200)
        val status = ServerStatus(ServerRole.PRIMARY, Term(3), Position(Term(3), 20))
        proxy.feed(SessionEvent.ControlAnswered(PRIMARY, ControlRequest.StepDown(2), status))
        proxy.takeEffects()
        proxy.advanceTime(200)
        val intents = proxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>().map { it.record }
        val intent = replaced.copy(epoch = 3, changedBy = ProxyFixture.identity("node-1"), successor = PRIMARY)
        expectThat(intents).contains(intent)
    }

    @Test
    fun `a server that answers that it leads the recorded term has not`() {
        readServers(PRIMARY to ServerRole.PRIMARY, NEAR_REPLICA to ServerRole.PRIMARY)
        proxy.advanceTime(1_200)
        val status = ServerStatus(ServerRole.PRIMARY, Term(2), Position(Term(2), 20))
        proxy.feed(SessionEvent.ControlAnswered(PRIMARY, ControlRequest.StepDown(2), status))
        proxy.takeEffects()
        proxy.advanceTime(300)
        expectThat(proxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>()).isEmpty()
    }
}
