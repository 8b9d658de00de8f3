package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture.Companion.FAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP_RECORD
import dev.hibiscusreach.sessions.ProxyFixture.Companion.NEAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SERVERS
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.PromotionOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.model.StoredRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/**
 * A requested promotion takes effect later, perhaps after its proxy has ended or after its outcome stayed unknown. A
 * primary that is kept meanwhile acknowledges writes that are lost when it follows the promoted server.
 */
class OutstandingPromotionTest {
    private val proxy = ProxyFixture(proxies = 1).ready()
    private val intent = GROUP_RECORD.copy(epoch = 2, changedBy = proxy.peers.first())
    private val kept = GROUP_RECORD.copy(epoch = 2)
    private val published = kept.copy(term = Term(2), primary = NEAR_REPLICA)
    private val leading = ServerStatus(ServerRole.PRIMARY, Term(1), Position(Term(1), 10))
    private val following = leading.copy(role = ServerRole.REPLICA)

    private inline fun <reified T : SessionEffect> effects(): List<T> = proxy.takeEffects().filterIsInstance<T>()

    private fun writtenRecords() = effects<SessionEffect.WriteFleet>().map { it.record }

    private fun promoted() = effects<SessionEffect.Promote>().map { it.server }

    private fun report(server: ServerName, status: ServerStatus) =
        proxy.feed(SessionEvent.ControlAnswered(server, ControlRequest.Status, status))

    private fun confirmWrite(key: FleetKey, revision: Long) =
        proxy.feed(SessionEvent.FleetWritten(key, WriteOutcome.Written(Revision(revision))))

    /** Carries a change out up to the choice of a successor; the primary reports nothing. */
    private fun chooseSuccessor(record: FleetRecord.Group = intent) {
        repeat(2) {
            proxy.readFleet(proxy.records(record))
            proxy.advanceTime(200)
        }
        report(NEAR_REPLICA, following)
        report(FAR_REPLICA, following)
        proxy.advanceTime(700)
    }

    private fun requestPromotion() {
        chooseSuccessor()
        confirmWrite(FleetKey.group(GROUP), revision = 8)
        confirmWrite(FleetKey.PROMOTER, revision = 31)
    }

    private fun reportAll() {
        SERVERS.forEach { report(it.name, if (it.name == PRIMARY) leading else following) }
        proxy.advanceTime(700)
    }

    @Test
    fun `a primary is not kept after a promotion request with an unknown outcome - guards against lost writes`() {
        requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.UNKNOWN))
        proxy.advanceTime(2_700)
        proxy.takeEffects()
        reportAll()
        expectThat(writtenRecords()).doesNotContain(kept)
    }

    @Test
    fun `the same server's promotion is requested again - guards against a second server that is promoted later`() {
        requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.UNKNOWN))
        proxy.advanceTime(2_700)
        report(FAR_REPLICA, following.copy(received = Position(Term(1), 20)))
        report(NEAR_REPLICA, following)
        proxy.advanceTime(1_000)
        proxy.takeEffects()
        confirmWrite(FleetKey.PROMOTER, revision = 32)
        expectThat(promoted()).isEqualTo(listOf(NEAR_REPLICA))
    }

    @Test
    fun `a primary is kept once the promotion was rejected - guards against an outage while the primary leads`() {
        requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.REJECTED))
        proxy.takeEffects()
        reportAll()
        expectThat(writtenRecords()).contains(kept)
    }

    @Test
    fun `a primary is kept once the requested successor is gone - guards against an endless outage`() {
        requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.UNKNOWN))
        proxy.feed(SessionEvent.ServersRead(SERVERS.filter { it.name != NEAR_REPLICA }.associateBy { it.name }))
        proxy.advanceTime(4_000)
        proxy.takeEffects()
        reportAll()
        expectThat(writtenRecords()).contains(kept)
    }

    @Test
    fun `no promotion is requested before the record names the successor - guards against a takeover unaware of it`() {
        chooseSuccessor()
        confirmWrite(FleetKey.PROMOTER, revision = 31)
        val effects = proxy.takeEffects()
        expectThat(effects.filterIsInstance<SessionEffect.Promote>()).isEmpty()
        expectThat(effects.filterIsInstance<SessionEffect.WriteFleet>().map { it.record })
            .contains(intent.copy(successor = NEAR_REPLICA))
    }

    @Test
    fun `a proxy whose change was taken over requests no promotion - guards against two primaries`() {
        chooseSuccessor()
        proxy.feed(SessionEvent.FleetWritten(FleetKey.group(GROUP), WriteOutcome.Conflict))
        val taken = intent.copy(epoch = 3, changedBy = ProxyFixture.identity("node-2"))
        proxy.readFleet(proxy.records(taken))
        confirmWrite(FleetKey.PROMOTER, revision = 31)
        proxy.advanceTime(200)
        expectThat(promoted()).isEmpty()
    }

    @Test
    fun `a successor whose write was confirmed by a read is promoted - guards against a change that stands still`() {
        chooseSuccessor()
        proxy.takeEffects()
        val records = proxy.records(intent.copy(successor = NEAR_REPLICA)).mapValues {
            StoredRecord(it.value, Revision(8))
        }
        proxy.feed(SessionEvent.FleetRead(MonotonicTime(proxy.now), records, era = 0))
        proxy.advanceTime(100)
        expectThat(effects<SessionEffect.WriteFleet>().map { it.key }).contains(FleetKey.PROMOTER)
    }

    @Test
    fun `a takeover does not keep the primary while the earlier request is outstanding - guards against lost writes`() {
        chooseSuccessor(intent.copy(successor = NEAR_REPLICA))
        proxy.takeEffects()
        reportAll()
        expectThat(writtenRecords()).doesNotContain(kept)
    }

    @Test
    fun `a takeover names the successor of the earlier change - guards against a second takeover unaware of it`() {
        val ended = ProxyFixture.identity("node-2")
        proxy.readFleet(proxy.records(intent.copy(changedBy = ended, successor = NEAR_REPLICA)))
        proxy.advanceTime(200)
        expectThat(writtenRecords()).contains(intent.copy(epoch = 3, successor = NEAR_REPLICA))
    }

    @Test
    fun `a successor that leads meanwhile is published - guards against waiting for the lock of a proxy that ended`() {
        val holder = FleetRecord.Promoter(ProxyFixture.identity("node-2"))
        val named = intent.copy(successor = NEAR_REPLICA)
        repeat(2) {
            proxy.readFleet(proxy.records(named) + (FleetKey.PROMOTER to holder))
            proxy.advanceTime(200)
        }
        reportAll()
        proxy.takeEffects()
        report(NEAR_REPLICA, ServerStatus(ServerRole.PRIMARY, Term(2), Position(Term(2), 11)))
        expectThat(writtenRecords()).contains(published)
    }

    @Test
    fun `a restored record without the successor does not hide it - guards against lost writes`() {
        val peer = ProxyFixture.identity("node-2")
        val named = intent.copy(changedBy = peer, successor = NEAR_REPLICA)
        proxy.readFleet(proxy.records(named))
        proxy.readFleet(proxy.records(named.copy(successor = null, era = 1), era = 1), era = 1)
        expectThat(proxy.state.groups.getValue(GROUP).record?.successor).isEqualTo(NEAR_REPLICA)
    }

    @Test
    fun `a completed change names no successor - guards against a later change that waits for an old request`() {
        requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.ACCEPTED))
        report(NEAR_REPLICA, ServerStatus(ServerRole.PRIMARY, Term(2), Position(Term(2), 11)))
        confirmWrite(FleetKey.group(GROUP), revision = 40)
        expectThat(proxy.state.groups.getValue(GROUP).record).isEqualTo(published)
        expectThat(proxy.state.groups.getValue(GROUP).change).isNull()
    }
}
