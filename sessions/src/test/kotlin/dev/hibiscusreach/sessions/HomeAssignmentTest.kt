package dev.hibiscusreach.sessions

import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.StoredRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty

/** Homes of groups when hosts join and leave, and writes of a proxy's record have no answer. */
class HomeAssignmentTest {
    private val fleet = FleetFixture(domains = 2, hostsPerDomain = 3, groups = 8).also { it.advance(6_000) }

    private fun records() = fleet.store.values.mapNotNull { it.record as? FleetRecord.Proxy }

    private fun record(node: String) = fleet.store.getValue(FleetKey.proxy(node)).record as FleetRecord.Proxy

    private fun homesIn(domain: String, group: Int) = fleet.homes(group).filter { it.startsWith(domain) }

    @Test
    fun `every group has two homes in each failure domain and each proxy is a home of some groups`() {
        (0 until 8).forEach { group ->
            expectThat(homesIn("domain-1", group)).hasSize(2)
            expectThat(homesIn("domain-2", group)).hasSize(2)
        }
        records().forEach { expectThat(it.groups.orEmpty()).isNotEmpty() }
    }

    @Test
    fun `in a small failure domain every proxy is a home of all groups`() {
        val small = FleetFixture(domains = 3, hostsPerDomain = 2, groups = 3).also { it.advance(3_000) }
        expectThat(small.homes(2)).hasSize(6)
    }

    @Test
    fun `the groups of a lost host move to its neighbours - guards against groups without homes nearby`() {
        val host = "domain-1-host-1"
        fleet.lose(host)
        fleet.store.remove(FleetKey.proxy(host))
        fleet.advance(2_000)
        (0 until 8).forEach { expectThat(homesIn("domain-1", it)).hasSize(2) }
    }

    @Test
    fun `a host that joins takes over groups, and the connections of the earlier homes are closed`() {
        val joining = FleetFixture(domains = 1, hostsPerDomain = 6, groups = 8)
        val late = joining.nodes.drop(3)
        late.forEach { joining.lose(it) }
        late.forEach { joining.store.remove(FleetKey.proxy(it)) }
        joining.advance(6_000)
        late.forEach { joining.start(it) }
        joining.advance(8_000)
        (0 until 8).forEach { expectThat(joining.homes(it)).hasSize(2) }
        expectThat((0 until 8).flatMap { joining.homes(it) }.filter { it in late }).isNotEmpty()
        val unused = joining.nodes.flatMap { node ->
            val own = joining.store.getValue(FleetKey.proxy(node)).record as FleetRecord.Proxy
            joining.states.getValue(node).connections.values.filter { !own.isHomeOf(it.group) }
        }
        expectThat(unused).isEmpty()
    }

    @Test
    fun `a retired group is not used before its record changed - guards against a home that no fence asks`() {
        val home = fleet.homes(0).first { it.startsWith("domain-1") }
        val key = FleetKey.proxy(home)
        val group = record(home).groups.orEmpty().first()
        // Better ranked neighbours make the group surplus; the write that gives it up has no answer.
        val better = (1..40).map { "domain-1-joined-$it" }
        val joined = better.associate { node ->
            val identity = record(home).identity.copy(node = node)
            FleetKey.proxy(node) to
                fleet.store.getValue(key).copy(
                    record = record(home).copy(identity = identity, peerEndpoint = FleetFixture.endpoint(node))
                )
        }
        fleet.store += joined
        fleet.writesLost += home
        fleet.advance(4_500)
        expectThat(fleet.states.getValue(home).fleet.roles.retired).contains(group)
        // The neighbours are gone again, but the write may still take effect.
        fleet.store -= joined.keys
        fleet.advance(1_000)
        expectThat(fleet.states.getValue(home).fleet.roles.retired).contains(group)
        fleet.writesLost -= home
        fleet.advance(6_000)
        expectThat(fleet.states.getValue(home).fleet.roles.retired).isEmpty()
        expectThat(record(home).groups.orEmpty()).contains(group)
    }

    @Test
    fun `a proxy that is no home any more completes its change of primary - guards against a fence that stays`() {
        val home = fleet.homes(0).first()
        val identity = record(home).identity
        val key = FleetKey.group(GROUP)
        val intent = fleet.store.getValue(key).record as FleetRecord.Group
        fleet.store[key] = StoredRecord(intent.copy(epoch = 2, changedBy = identity), Revision(900))
        val own = FleetKey.proxy(home)
        fleet.store[own] = StoredRecord(record(home).copy(groups = emptySet()), Revision(901))
        fleet.writesLost += home
        fleet.nodes.filter { it != home }.forEach { fleet.lose(it) }
        fleet.otherEffects.clear()
        fleet.advance(14_000)
        val asked = fleet.otherEffects.filter { it.first == home }.map { it.second }
        expectThat(asked.filterIsInstance<SessionEffect.SendControl>()).isNotEmpty()
    }

    @Test
    fun `a change of primary that its proxy never ends is taken over - guards against a fence that stays`() {
        val changer = fleet.nodes.first { it !in fleet.homes(0) }
        val key = FleetKey.group(GROUP)
        val intent = fleet.store.getValue(key).record as FleetRecord.Group
        val identity = record(changer).identity
        fleet.store[key] = StoredRecord(intent.copy(epoch = 2, changedBy = identity), Revision(900))
        val silent = fleet.states.getValue(changer)
        repeat(30) {
            fleet.advance(1_000)
            fleet.states[changer] = silent
            fleet.nodes.filter { it != changer }.forEach { node ->
                val alive = PeerOutcome.Answered(PeerAnswer.Done)
                fleet.feed(node, SessionEvent.PeerAnswered(FleetFixture.endpoint(changer), PeerRequest.Ping, alive))
            }
        }
        val record = fleet.store.getValue(key).record as FleetRecord.Group
        expectThat(record.epoch).isGreaterThan(2)
    }

    @Test
    fun `a proxy that is no home confirms a fence at once`() {
        val other = fleet.nodes.first { it !in fleet.homes(0) }
        fleet.otherEffects.clear()
        fleet.feed(other, SessionEvent.PeerAsked(PeerRequestNumber(1), PeerRequest.Fence("group-1", 2, planned = true)))
        val answers = fleet.otherEffects.map { it.second }.filterIsInstance<SessionEffect.AnswerPeer>()
        expectThat(answers.map { it.answer }).isEqualTo(listOf(PeerAnswer.Done))
    }

    private companion object {
        val GROUP = GroupName("group-1")
    }
}
