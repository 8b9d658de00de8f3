package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.FleetFixture.Companion.server
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP_RECORD
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SERVERS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.ProxyFixture.Companion.endpoint
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.model.SessionReply
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** The fleet's records after the store was restored from a copy that lacks the latest of them. */
class RestoredRecordsTest {
    private val proxy = ProxyFixture()
    private val key = FleetKey.group(GROUP)

    private inline fun <reified T : SessionEffect> effects(): List<T> = proxy.takeEffects().filterIsInstance<T>()

    /** The requests of the promoter lock, which follow the record of the chosen successor. */
    private fun promoterWrites(era: Long = 1): List<SessionEffect.WriteFleet> {
        proxy.feed(SessionEvent.FleetWritten(key, WriteOutcome.Written(Revision(21, era))))
        return effects<SessionEffect.WriteFleet>().filter { it.key == FleetKey.PROMOTER }
    }

    private fun markPrimaryLeaving() {
        val leaving = SERVERS.map { if (it.name == PRIMARY) it.copy(leaving = true) else it }
        proxy.feed(SessionEvent.ServersRead(leaving.associateBy { it.name }))
    }

    /** Replaces the leaving primary up to the choice of its successor. */
    private fun replacePrimary(era: Long, others: Map<FleetKey, FleetRecord> = emptyMap()) {
        markPrimaryLeaving()
        proxy.advanceTime(5_000)
        val intent = effects<SessionEffect.WriteFleet>().last { it.key == key }.record as FleetRecord.Group
        proxy.feed(SessionEvent.FleetWritten(key, WriteOutcome.Written(Revision(20, era))))
        proxy.readFleet(proxy.records(intent, era) + others, era)
        for (node in listOf("node-2", "node-3")) {
            val request = PeerRequest.Fence(GROUP.value, intent.epoch, planned = true)
            proxy.feed(SessionEvent.PeerAnswered(endpoint(node), request, PeerOutcome.Answered(PeerAnswer.Done)))
        }
        proxy.advanceTime(100)
        reportStatuses()
    }

    private fun reportStatuses() {
        for (server in SERVERS) {
            val status = ServerStatus(server.role, Term(1), Position(Term(1), 10))
            proxy.feed(SessionEvent.ControlAnswered(server.name, ControlRequest.Status, status))
        }
        proxy.advanceTime(100)
    }

    @Test
    fun `a change of primary that the store lost is written back - guards against changes that can never begin`() {
        val fleet = FleetFixture(domains = 3, hostsPerDomain = 2)
        val group = GroupName("group-1")
        fleet.advance(2_000)
        val copy = fleet.store.toMap()
        val changed = FleetRecord.Group(group.value, epoch = 2, term = Term(2), primary = server(group, 2))
        fleet.put(FleetKey.group(group), changed)
        fleet.advance(1_000)
        fleet.restoreStore(copy)
        fleet.advance(3_000)
        expectThat(fleet.store[FleetKey.group(group)]?.record).isEqualTo(changed.copy(era = 1))
        val known = fleet.states.values.map { it.groups[group]?.record }
        expectThat(known.distinct()).isEqualTo(listOf(changed.copy(era = 1)))
    }

    @Test
    fun `every proxy announces itself again - guards against a lease by a record that the store lost`() {
        val fleet = FleetFixture(domains = 1, hostsPerDomain = 3, groups = 2)
        fleet.advance(2_000)
        val copy = fleet.store.toMap().filterKeys { it != FleetKey.proxy(fleet.nodes.first()) }
        fleet.restoreStore(copy)
        fleet.advance(2_000)
        val proxies = fleet.store.values.mapNotNull { it.record as? FleetRecord.Proxy }
        expectThat(proxies.map { it.identity.node to it.era }.toSet()).isEqualTo(fleet.nodes.map { it to 1L }.toSet())
    }

    @Test
    fun `a lease is not renewed by a record of an earlier era - guards against a lease that no change waits for`() {
        proxy.ready()
        val leaseFrom = proxy.state.fleet.leaseFrom
        proxy.advanceTime(3_000)
        proxy.readFleet(proxy.records(), era = 1)
        expectThat(proxy.state.fleet.leaseFrom).isEqualTo(leaseFrom)
        val own = effects<SessionEffect.WriteFleet>().last { it.key == FleetKey.proxy("node-1") }
        expectThat((own.record as FleetRecord.Proxy).era).isEqualTo(1)
        proxy.readFleet(proxy.records(era = 1), era = 1)
        expectThat(proxy.state.fleet.leaseFrom?.millis).isEqualTo(proxy.now)
    }

    @Test
    fun `no server is promoted while leases of the earlier era may be valid - guards against two primaries`() {
        proxy.ready()
        proxy.readFleet(proxy.records(GROUP_RECORD.copy(era = 1), era = 1), era = 1)
        val restoredAt = proxy.now
        replacePrimary(era = 1)
        proxy.advanceTime(restoredAt + 9_900 - proxy.now)
        expectThat(promoterWrites()).isEmpty()
        proxy.readFleet(proxy.records(checkNotNull(proxy.state.groups[GROUP]?.record), era = 1), era = 1)
        proxy.advanceTime(400)
        reportStatuses()
        expectThat(promoterWrites()).isNotEmpty()
    }

    @Test
    fun `a promotion does not wait in an era that is settled - guards against long failovers after a restart`() {
        proxy.ready()
        val settled = mapOf(FleetKey.SETTLED_ERA to FleetRecord.SettledEra(era = 1))
        proxy.readFleet(proxy.records(GROUP_RECORD.copy(era = 1), era = 1) + settled, era = 1)
        replacePrimary(era = 1, settled)
        expectThat(promoterWrites()).isNotEmpty()
    }

    @Test
    fun `a settled era is recorded once leases have expired - guards against waits of proxies that start later`() {
        val fleet = FleetFixture(domains = 3, hostsPerDomain = 2)
        fleet.advance(2_000)
        fleet.restoreStore(fleet.store.toMap())
        fleet.advance(10_000)
        expectThat(fleet.store[FleetKey.SETTLED_ERA]).isNull()
        fleet.advance(3_000)
        expectThat(fleet.store[FleetKey.SETTLED_ERA]?.record).isEqualTo(FleetRecord.SettledEra(era = 1))
    }

    @Test
    fun `fencing tokens and epochs rise across a restoration - guards against a token that was used before`() {
        expectThat(Revision(1, era = 2).ordinal).isGreaterThan(Revision(500_000, era = 1).ordinal)
        proxy.ready()
        val settled = mapOf(FleetKey.SETTLED_ERA to FleetRecord.SettledEra(era = 1))
        proxy.readFleet(proxy.records(GROUP_RECORD.copy(era = 1), era = 1) + settled, era = 1)
        replacePrimary(era = 1, settled)
        expectThat(proxy.state.groups.getValue(GROUP).record).isNotNull().get { epoch }.isGreaterThan(1_000)
        expectThat(promoterWrites()).isNotEmpty()
        proxy.feed(SessionEvent.FleetWritten(FleetKey.PROMOTER, WriteOutcome.Written(Revision(3, era = 1))))
        expectThat(effects<SessionEffect.Promote>().single().fencingToken).isGreaterThan(Revision(31).ordinal)
    }

    @Test
    fun `a proxy that starts later does not use the primary of an old record - guards against a replaced primary`() {
        proxy.ready(era = 2, group = GROUP_RECORD.copy(era = 1))
        proxy.send(proxy.session(1, SIGN_OFFS), WRITE)
        expectThat(proxy.busyConnection(PRIMARY)).isNull()
        proxy.takeEffects()
        proxy.advanceTime(3_000)
        val intents = effects<SessionEffect.WriteFleet>().filter { it.key == key }
        expectThat(intents.map { (it.record as FleetRecord.Group).changedBy?.node }).isEqualTo(listOf("node-1"))
    }

    @Test
    fun `a change that the store lost is recorded again - guards against a change that others do not see`() {
        proxy.ready()
        markPrimaryLeaving()
        proxy.advanceTime(1_000)
        val intent = effects<SessionEffect.WriteFleet>().last { it.key == key }.record as FleetRecord.Group
        proxy.feed(SessionEvent.FleetWritten(key, WriteOutcome.Written(Revision(20))))
        proxy.readFleet(proxy.records(era = 1), era = 1)
        proxy.takeEffects()
        proxy.advanceTime(1_000)
        val written = proxy.takeEffects()
        expectThat(written.filterIsInstance<SessionEffect.SendControl>()).isEmpty()
        expectThat(written.filterIsInstance<SessionEffect.WriteFleet>().first { it.key == key })
            .isEqualTo(SessionEffect.WriteFleet(key, intent.copy(era = 1), Revision(7, era = 1)))
        proxy.readFleet(proxy.records(intent.copy(era = 1), era = 1), era = 1)
        proxy.advanceTime(100)
        val fenced = effects<SessionEffect.AskPeer>().filter { it.request is PeerRequest.Fence }.map { it.peer }.toSet()
        expectThat(fenced).isEqualTo(setOf(endpoint("node-2"), endpoint("node-3")))
    }

    @Test
    fun `a write that no promotion can serve in time is refused at once - guards against statements held in vain`() {
        proxy.ready()
        proxy.readFleet(proxy.records(GROUP_RECORD.copy(era = 1), era = 1), era = 1)
        val fence = PeerRequest.Fence(GROUP.value, epoch = 1_000_000, planned = false)
        proxy.feed(SessionEvent.PeerAsked(PeerRequestNumber(1), fence))
        val session = proxy.session(1, SIGN_OFFS)
        proxy.send(session, WRITE)
        expectThat((proxy.reply(session) as? SessionReply.Refused)?.kind).isEqualTo(ErrorKind.NO_PRIMARY)
    }

    @Test
    fun `a fence whose change the store lost ends in a change - guards against a group that is never served again`() {
        proxy.ready()
        val fence = PeerRequest.Fence(GROUP.value, epoch = 2, planned = false)
        proxy.feed(SessionEvent.PeerAsked(PeerRequestNumber(1), fence))
        val records = proxy.records(GROUP_RECORD.copy(era = 1), era = 1)
        repeat(9) {
            proxy.readFleet(records, era = 1)
            proxy.advanceTime(1_000)
        }
        expectThat(effects<SessionEffect.WriteFleet>().filter { it.key == key }).isEmpty()
        proxy.readFleet(records, era = 1)
        proxy.advanceTime(2_000)
        val intent = effects<SessionEffect.WriteFleet>().first { it.key == key }.record as FleetRecord.Group
        expectThat(intent.epoch).isGreaterThan(fence.epoch)
    }

    @Test
    fun `a leaving primary gets no work after some seconds - guards against work that its end cuts off`() {
        proxy.ready()
        markPrimaryLeaving()
        proxy.feed(SessionEvent.FleetReadFailed("the store is away"))
        proxy.advanceTime(4_500)
        proxy.answerProbes()
        proxy.send(proxy.session(1, SIGN_OFFS), WRITE)
        expectThat(proxy.busyConnection(PRIMARY)).isNotNull()
        proxy.complete(proxy.busyConnection(PRIMARY))
        proxy.advanceTime(500)
        proxy.answerProbes()
        proxy.send(proxy.session(2, SIGN_OFFS), WRITE)
        expectThat(proxy.busyConnection(PRIMARY)).isNull()
    }

    @Test
    fun `a leaving server stays so when an old entry returns - guards against work for a server that ends`() {
        proxy.ready()
        markPrimaryLeaving()
        proxy.feed(SessionEvent.ServersRead(SERVERS.associateBy { it.name }))
        expectThat(proxy.state.server(PRIMARY)?.leaving).isEqualTo(true)
        val restarted = SERVERS.map { if (it.name == PRIMARY) it.copy(startedAtMillis = 2) else it }
        proxy.feed(SessionEvent.ServersRead(restarted.associateBy { it.name }))
        expectThat(proxy.state.server(PRIMARY)?.leaving).isEqualTo(false)
    }
}
