package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP_RECORD
import dev.hibiscusreach.sessions.ProxyFixture.Companion.NEAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.SessionReply
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA

/** Guards against acknowledged writes whose server was replaced between their sending and their answer. */
class WriteAcrossChangeTest {
    private val proxy = ProxyFixture().ready()
    private val session = proxy.session(1, SIGN_OFFS)
    private val changing = GROUP_RECORD.copy(epoch = 2, changedBy = proxy.peers[1])

    private fun sendWrite() = proxy.send(session, WRITE).let { proxy.busyConnection(PRIMARY) }

    private fun changePrimary(result: FleetRecord.Group) {
        proxy.readFleet(proxy.records(changing))
        proxy.advanceTime(300)
        proxy.readFleet(proxy.records(result))
        proxy.takeEffects()
    }

    @Test
    fun `a write that outlasts a whole change has an unknown outcome - guards against a write that is rolled back`() {
        val connection = sendWrite()
        changePrimary(FleetRecord.Group(GROUP.value, epoch = 2, term = Term(2), primary = NEAR_REPLICA))
        proxy.complete(connection)
        expectThat(proxy.reply(session)).isA<SessionReply.Refused>()
    }

    @Test
    fun `a write that outlasts a change which keeps the primary is acknowledged`() {
        val connection = sendWrite()
        changePrimary(GROUP_RECORD.copy(epoch = 2))
        proxy.complete(connection)
        expectThat(proxy.reply(session)).isA<SessionReply.Completed>()
    }

    @Test
    fun `a write that outlasts an expired lease has an unknown outcome, also once it is renewed`() {
        proxy.advanceTime(9_300, groups = false)
        val connection = sendWrite()
        proxy.advanceTime(800, groups = false)
        proxy.readFleet(proxy.records(changing))
        proxy.complete(connection)
        expectThat(proxy.reply(session)).isA<SessionReply.Refused>()
    }
}
