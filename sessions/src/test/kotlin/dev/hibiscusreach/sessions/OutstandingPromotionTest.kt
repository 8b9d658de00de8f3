package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture.Companion.FAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.NEAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
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
    private val fixture = ChangeFixture()
    private val proxy = fixture.proxy
    private val intent = fixture.intent
    private val kept = fixture.kept

    @Test
    fun `a primary is not kept after a promotion request with an unknown outcome - guards against lost writes`() {
        fixture.requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.UNKNOWN))
        proxy.advanceTime(2_700)
        proxy.takeEffects()
        fixture.reportAll()
        expectThat(fixture.writtenRecords()).doesNotContain(kept)
    }

    @Test
    fun `the same server's promotion is requested again - guards against a second server that is promoted later`() {
        fixture.requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.UNKNOWN))
        proxy.advanceTime(2_700)
        fixture.report(FAR_REPLICA, fixture.following.copy(received = Position(Term(1), 20)))
        fixture.report(NEAR_REPLICA, fixture.following)
        proxy.advanceTime(1_000)
        proxy.takeEffects()
        fixture.confirmWrite(FleetKey.PROMOTER, revision = 32)
        expectThat(fixture.promoted()).isEqualTo(listOf(NEAR_REPLICA))
    }

    @Test
    fun `a primary is kept once the promotion was rejected - guards against an outage while the primary leads`() {
        fixture.requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.REJECTED))
        proxy.takeEffects()
        fixture.reportAll()
        expectThat(fixture.writtenRecords()).contains(kept)
    }

    @Test
    fun `no promotion is requested before the record names the successor - guards against a takeover unaware of it`() {
        fixture.chooseSuccessor()
        fixture.confirmWrite(FleetKey.PROMOTER, revision = 31)
        val effects = proxy.takeEffects()
        expectThat(effects.filterIsInstance<SessionEffect.Promote>()).isEmpty()
        expectThat(effects.filterIsInstance<SessionEffect.WriteFleet>().map { it.record })
            .contains(intent.copy(successor = NEAR_REPLICA))
    }

    @Test
    fun `a proxy whose change was taken over requests no promotion - guards against two primaries`() {
        fixture.chooseSuccessor()
        proxy.feed(SessionEvent.FleetWritten(FleetKey.group(GROUP), WriteOutcome.Conflict))
        val taken = intent.copy(epoch = 3, changedBy = ProxyFixture.identity("node-2"))
        proxy.readFleet(proxy.records(taken))
        fixture.confirmWrite(FleetKey.PROMOTER, revision = 31)
        proxy.advanceTime(200)
        expectThat(fixture.promoted()).isEmpty()
    }

    @Test
    fun `a successor whose write was confirmed by a read is promoted - guards against a change that stands still`() {
        fixture.chooseSuccessor()
        proxy.takeEffects()
        val records = proxy.records(intent.copy(successor = NEAR_REPLICA)).mapValues {
            StoredRecord(it.value, Revision(8))
        }
        proxy.feed(SessionEvent.FleetRead(MonotonicTime(proxy.now), records, era = 0))
        proxy.advanceTime(100)
        expectThat(fixture.effects<SessionEffect.WriteFleet>().map { it.key }).contains(FleetKey.PROMOTER)
    }

    @Test
    fun `a takeover does not keep the primary while the earlier request is outstanding - guards against lost writes`() {
        fixture.chooseSuccessor(intent.copy(successor = NEAR_REPLICA))
        proxy.takeEffects()
        fixture.reportAll()
        expectThat(fixture.writtenRecords()).doesNotContain(kept)
    }

    @Test
    fun `a takeover names the successor of the earlier change - guards against a second takeover unaware of it`() {
        val ended = ProxyFixture.identity("node-2")
        proxy.readFleet(proxy.records(intent.copy(changedBy = ended, successor = NEAR_REPLICA)))
        proxy.advanceTime(200)
        expectThat(fixture.writtenRecords()).contains(intent.copy(epoch = 3, successor = NEAR_REPLICA))
    }

    @Test
    fun `a successor that leads meanwhile is published - guards against waiting for the lock of a proxy that ended`() {
        val holder = FleetRecord.Promoter(ProxyFixture.identity("node-2"))
        val named = intent.copy(successor = NEAR_REPLICA)
        repeat(2) {
            proxy.readFleet(proxy.records(named) + (FleetKey.PROMOTER to holder))
            proxy.advanceTime(200)
        }
        fixture.reportAll()
        proxy.takeEffects()
        fixture.report(NEAR_REPLICA, ServerStatus(ServerRole.PRIMARY, Term(2), Position(Term(2), 11)))
        expectThat(fixture.writtenRecords()).contains(fixture.published)
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
        fixture.requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.ACCEPTED))
        fixture.report(NEAR_REPLICA, ServerStatus(ServerRole.PRIMARY, Term(2), Position(Term(2), 11)))
        fixture.confirmWrite(FleetKey.group(GROUP), revision = 40)
        expectThat(proxy.state.groups.getValue(GROUP).record).isEqualTo(fixture.published)
        expectThat(proxy.state.groups.getValue(GROUP).change).isNull()
    }
}
