package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture.Companion.FAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.NEAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SERVERS
import dev.hibiscusreach.sessions.event.PromotionOutcome
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.ServerStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo

/**
 * A server may have led for a moment and be gone before a record names it. Guards against the old primary that is kept
 * then, and acknowledges writes after another server has taken over, and against a group that stays without a primary.
 */
class DepartedSuccessorTest {
    private val fixture = ChangeFixture()
    private val proxy = fixture.proxy

    private fun answerPromotion(server: ServerName, outcome: PromotionOutcome) =
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, server, outcome))

    private fun removeServer(name: ServerName) {
        proxy.feed(SessionEvent.ServersRead(SERVERS.filter { it.name != name }.associateBy { it.name }))
        repeat(40) {
            proxy.advanceTime(100)
            proxy.answerProbes()
        }
    }

    private fun reportRemaining() {
        fixture.report(PRIMARY, fixture.leading)
        fixture.report(FAR_REPLICA, fixture.following)
        proxy.advanceTime(700)
    }

    /** The first successor's promotion has an unknown outcome, and the server is gone; the primary leads again. */
    private fun loseSuccessor() {
        fixture.requestPromotion()
        answerPromotion(NEAR_REPLICA, PromotionOutcome.UNKNOWN)
        removeServer(NEAR_REPLICA)
        proxy.takeEffects()
        reportRemaining()
    }

    private fun promoteAgain(group: Long, promoter: Long) {
        fixture.confirmWrite(FleetKey.group(GROUP), revision = group)
        fixture.confirmWrite(FleetKey.PROMOTER, revision = promoter)
    }

    private fun keepsPrimary() = fixture.writtenRecords().contains(fixture.kept)

    @Test
    fun `the old primary is promoted anew, not kept, once the requested successor is gone`() {
        loseSuccessor()
        val written = fixture.writtenRecords()
        expectThat(written).doesNotContain(fixture.kept)
        expectThat(written).contains(fixture.intent.copy(successor = PRIMARY))
        promoteAgain(group = 9, promoter = 32)
        expectThat(fixture.promoted()).isEqualTo(listOf(PRIMARY))
        answerPromotion(PRIMARY, PromotionOutcome.ACCEPTED)
        fixture.report(PRIMARY, ServerStatus(ServerRole.PRIMARY, Term(3), Position(Term(1), 10)))
        expectThat(fixture.writtenRecords()).contains(fixture.kept.copy(term = Term(3)))
    }

    @Test
    fun `an accepted promotion that leaves the old primary in its term shows that no other server has led`() {
        loseSuccessor()
        promoteAgain(group = 9, promoter = 32)
        answerPromotion(PRIMARY, PromotionOutcome.ACCEPTED)
        proxy.advanceTime(500)
        fixture.report(PRIMARY, fixture.leading)
        proxy.advanceTime(2_500)
        expectThat(keepsPrimary()).isEqualTo(false)
        reportRemaining()
        expectThat(keepsPrimary()).isEqualTo(true)
    }

    @Test
    fun `a new promotion with an unknown outcome is requested again`() {
        loseSuccessor()
        promoteAgain(group = 9, promoter = 32)
        answerPromotion(PRIMARY, PromotionOutcome.UNKNOWN)
        proxy.advanceTime(500)
        fixture.report(PRIMARY, fixture.leading)
        proxy.advanceTime(2_500)
        proxy.takeEffects()
        reportRemaining()
        expectThat(keepsPrimary()).isEqualTo(false)
        fixture.confirmWrite(FleetKey.PROMOTER, revision = 33)
        expectThat(fixture.promoted()).isEqualTo(listOf(PRIMARY))
    }

    @Test
    fun `a rejection says nothing of an earlier request whose outcome is unknown`() {
        fixture.requestPromotion()
        answerPromotion(NEAR_REPLICA, PromotionOutcome.UNKNOWN)
        proxy.advanceTime(2_700)
        fixture.report(NEAR_REPLICA, fixture.following)
        proxy.advanceTime(1_000)
        fixture.confirmWrite(FleetKey.PROMOTER, revision = 32)
        answerPromotion(NEAR_REPLICA, PromotionOutcome.REJECTED)
        proxy.takeEffects()
        fixture.reportAll()
        expectThat(keepsPrimary()).isEqualTo(false)
    }

    @Test
    fun `a takeover does not keep the primary either`() {
        removeServer(NEAR_REPLICA)
        fixture.inspectServers(fixture.intent.copy(successor = NEAR_REPLICA))
        proxy.takeEffects()
        reportRemaining()
        val written = fixture.writtenRecords()
        expectThat(written).doesNotContain(fixture.kept)
        expectThat(written).contains(fixture.intent.copy(successor = PRIMARY))
    }

    @Test
    fun `another replica is promoted if the old primary reports nothing`() {
        fixture.requestPromotion()
        answerPromotion(NEAR_REPLICA, PromotionOutcome.UNKNOWN)
        removeServer(NEAR_REPLICA)
        proxy.takeEffects()
        fixture.report(FAR_REPLICA, fixture.following)
        proxy.advanceTime(700)
        expectThat(fixture.writtenRecords()).contains(fixture.intent.copy(successor = FAR_REPLICA))
    }
}
