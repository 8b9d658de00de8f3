package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.PromotionOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.ProxyIdentity
import dev.hibiscusreach.sessions.model.ServerStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/**
 * A proxy replaces the primaries of two groups at once under the one promoter lock. Once it is free, another proxy gets
 * a higher fencing token, and its request may reach the platform before one that is still on its way.
 */
class SharedPromoterLockTest {
    private val fleet = FleetFixture(domains = 1, hostsPerDomain = 1, groups = 2)
    private val node = fleet.nodes.single()
    private val state get() = fleet.states.getValue(node)

    private val holder: ProxyIdentity?
        get() = (fleet.store.getValue(FleetKey.PROMOTER).record as FleetRecord.Promoter).holder

    private fun releasePrimaries() {
        val servers = state.servers.values.map { it.server }
        val leaving = servers.map { it.copy(leaving = it.role == ServerRole.PRIMARY) }
        fleet.feed(node, SessionEvent.ServersRead(leaving.associateBy { it.name }))
    }

    /** Lets all servers report their status until promotions of both groups have been requested. */
    private fun requestPromotions(): List<SessionEffect.Promote> {
        fleet.advance(2_000)
        releasePrimaries()
        repeat(40) {
            fleet.advance(100)
            val asked = fleet.otherEffects.map { it.second }.filterIsInstance<SessionEffect.SendControl>()
            fleet.otherEffects.removeIf { it.second is SessionEffect.SendControl }
            for (server in asked.map { it.server }.distinct()) {
                val status = ServerStatus(server.role, Term(1), Position(Term(1), 10))
                fleet.feed(node, SessionEvent.ControlAnswered(server.name, ControlRequest.Status, status))
            }
        }
        return fleet.otherEffects.map { it.second }.filterIsInstance<SessionEffect.Promote>().distinctBy { it.group }
    }

    private fun answer(promotion: SessionEffect.Promote) =
        fleet.feed(
            node,
            SessionEvent.PromotionAnswered(promotion.group, promotion.server, PromotionOutcome.ACCEPTED),
        )

    @Test
    fun `the lock is kept while a request of another group is unanswered - guards against a late lower token`() {
        val (first, second) = requestPromotions()
        expectThat(setOf(first.group, second.group)).isEqualTo(setOf(GroupName("group-1"), GroupName("group-2")))
        answer(first)
        expectThat(holder).isEqualTo(state.self.identity)
        answer(second)
        expectThat(holder).isNull()
    }

    @Test
    fun `the lock of another holder is not released - guards against two holders after a takeover`() {
        val (first, second) = requestPromotions()
        val other = FleetRecord.Promoter(ProxyIdentity("other", incarnation = 1))
        fleet.put(FleetKey.PROMOTER, other)
        fleet.readStore()
        answer(first)
        answer(second)
        expectThat(holder).isEqualTo(other.holder)
    }
}
