package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture.Companion.EAST
import dev.hibiscusreach.sessions.ProxyFixture.Companion.FAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP_RECORD
import dev.hibiscusreach.sessions.ProxyFixture.Companion.NEAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SERVERS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.ProxyFixture.Companion.endpoint
import dev.hibiscusreach.sessions.ProxyFixture.Companion.server
import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.PromotionOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.StoredRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue

class PrimaryChangeTest {
    private val proxy = ProxyFixture().ready()
    private val intent = GROUP_RECORD.copy(epoch = 2, changedBy = proxy.peers.first())
    private val confirmed = PeerOutcome.Answered(PeerAnswer.Done)

    private inline fun <reified T : SessionEffect> effects(): List<T> = proxy.takeEffects().filterIsInstance<T>()

    private fun writtenKeys() = effects<SessionEffect.WriteFleet>().map { it.key }

    /** Marks the primary as leaving and confirms the write of the intent to replace it. */
    private fun beginPlannedChange() {
        val leaving = SERVERS.map { if (it.name == PRIMARY) server(PRIMARY, EAST, ServerRole.PRIMARY, true) else it }
        proxy.feed(SessionEvent.ServersRead(leaving.associateBy { it.name }))
        proxy.advanceTime(1_000)
        proxy.feed(SessionEvent.FleetWritten(FleetKey.group(GROUP), WriteOutcome.Written(Revision(20))))
    }

    private fun confirmFence(node: String, outcome: PeerOutcome = confirmed) {
        val request = PeerRequest.Fence(GROUP.value, epoch = 2, planned = true)
        proxy.feed(SessionEvent.PeerAnswered(endpoint(node), request, outcome))
    }

    private fun reportStatuses() {
        for (server in SERVERS) {
            val status = ServerStatus(server.role, Term(1), Position(Term(1), 10))
            proxy.feed(SessionEvent.ControlAnswered(server.name, ControlRequest.Status, status))
        }
        proxy.advanceTime(100)
    }

    private fun requestPromotion() {
        beginPlannedChange()
        proxy.readFleet(proxy.records(intent))
        listOf("node-2", "node-3").forEach { confirmFence(it) }
        proxy.advanceTime(100)
        reportStatuses()
        proxy.confirmSuccessorRecord()
        proxy.feed(SessionEvent.FleetWritten(FleetKey.PROMOTER, WriteOutcome.Written(Revision(31))))
    }

    /** Confirms the write that names the successor, which comes before the request of the promoter lock. */
    private fun ProxyFixture.confirmSuccessorRecord() =
        feed(SessionEvent.FleetWritten(FleetKey.group(GROUP), WriteOutcome.Written(Revision(21))))

    @Test
    fun `no successor is chosen before every proxy has confirmed the fence - guards against two primaries`() {
        beginPlannedChange()
        proxy.readFleet(proxy.records(intent))
        confirmFence("node-2")
        proxy.takeEffects()
        proxy.advanceTime(5_000)
        expectThat(effects<SessionEffect.SendControl>()).isEmpty()
        confirmFence("node-3")
        proxy.advanceTime(100)
        expectThat(effects<SessionEffect.SendControl>()).isNotEmpty()
    }

    @Test
    fun `a proxy that registers during a change is fenced as well - guards against a lease that no proxy waits for`() {
        beginPlannedChange()
        listOf("node-2", "node-3").forEach { confirmFence(it) }
        proxy.takeEffects()
        proxy.advanceTime(100)
        expectThat(effects<SessionEffect.SendControl>()).isEmpty()
        val joined = FleetRecord.Proxy(ProxyFixture.identity("node-4"), endpoint("node-4"))
        proxy.readFleet(proxy.records(intent) + (FleetKey.proxy("node-4") to joined))
        proxy.advanceTime(100)
        val fenced = effects<SessionEffect.AskPeer>().filter { it.request is PeerRequest.Fence }.map { it.peer }
        expectThat(fenced).contains(endpoint("node-4"))
    }

    @Test
    fun `a proxy that does not confirm the fence is expelled when its lease has expired`() {
        beginPlannedChange()
        proxy.readFleet(proxy.records(intent))
        confirmFence("node-2")
        proxy.advanceTime(10_200)
        expectThat(writtenKeys()).contains(FleetKey.proxy("node-3"))
    }

    @Test
    fun `a proxy that has removed its record is not waited for - guards against an outage after a graceful stop`() {
        beginPlannedChange()
        proxy.readFleet(proxy.records(intent))
        confirmFence("node-2")
        proxy.takeEffects()
        proxy.readFleet(proxy.records(intent) - FleetKey.proxy("node-3"))
        proxy.advanceTime(100)
        expectThat(effects<SessionEffect.SendControl>()).isNotEmpty()
    }

    @Test
    fun `a proxy that another one expels is still waited for - guards against a lease that no proxy waits for`() {
        beginPlannedChange()
        proxy.readFleet(proxy.records(intent))
        confirmFence("node-2")
        proxy.takeEffects()
        val expelled = FleetRecord.Proxy(ProxyFixture.identity("node-3"), endpoint("node-3"), expelled = true)
        proxy.readFleet(proxy.records(intent) + (FleetKey.proxy("node-3") to expelled))
        proxy.advanceTime(8_000)
        expectThat(effects<SessionEffect.SendControl>()).isEmpty()
    }

    @Test
    fun `a promotion carries the revision of the promoter's record as its fencing token`() {
        requestPromotion()
        expectThat(effects<SessionEffect.Promote>()).contains(SessionEffect.Promote(GROUP, NEAR_REPLICA, 31))
    }

    @Test
    fun `the successor is published once it leads and the old primary steps down`() {
        requestPromotion()
        proxy.feed(SessionEvent.PromotionAnswered(GROUP, NEAR_REPLICA, PromotionOutcome.ACCEPTED))
        proxy.takeEffects()
        val leading = ServerStatus(ServerRole.PRIMARY, Term(2), Position(Term(2), 11))
        proxy.feed(SessionEvent.ControlAnswered(NEAR_REPLICA, ControlRequest.Status, leading))
        val effects = proxy.takeEffects()
        val published = GROUP_RECORD.copy(epoch = 2, term = Term(2), primary = NEAR_REPLICA)
        expectThat(effects.filterIsInstance<SessionEffect.SendControl>().map { it.command })
            .contains(ControlRequest.StepDown(2))
        expectThat(effects.filterIsInstance<SessionEffect.WriteFleet>().map { it.record }).contains(published)
    }

    @Test
    fun `a fenced proxy sends no write to the old primary - guards against two primaries that accept writes`() {
        val request = PeerRequest.Fence(GROUP.value, epoch = 2, planned = false)
        proxy.feed(SessionEvent.PeerAsked(PeerRequestNumber(1), request))
        val session = proxy.session(1, SIGN_OFFS)
        proxy.takeEffects()
        proxy.send(session, WRITE)
        expectThat(effects<SessionEffect.SendStatements>()).isEmpty()
    }

    @Test
    fun `a fence is confirmed after the write in flight is answered - guards against a lost acknowledgement`() {
        val session = proxy.session(1, SIGN_OFFS)
        proxy.send(session, WRITE)
        val connection = proxy.busyConnection(PRIMARY)
        proxy.takeEffects()
        val request = PeerRequest.Fence(GROUP.value, epoch = 2, planned = true)
        proxy.feed(SessionEvent.PeerAsked(PeerRequestNumber(1), request))
        expectThat(effects<SessionEffect.AnswerPeer>()).isEmpty()
        proxy.complete(connection)
        expectThat(proxy.reply(session)).isA<SessionReply.Completed>()
        proxy.advanceTime(100)
        expectThat(effects<SessionEffect.AnswerPeer>()).isNotEmpty()
    }

    @Test
    fun `the change of a proxy that answers is not taken over - guards against endless takeovers`() {
        val other = intent.copy(changedBy = proxy.peers[1])
        repeat(10) {
            proxy.readFleet(proxy.records(other))
            proxy.advanceTime(1_000)
            proxy.feed(SessionEvent.PeerAnswered(endpoint("node-2"), PeerRequest.Ping, confirmed))
        }
        expectThat(writtenKeys()).doesNotContain(FleetKey.group(GROUP))
    }

    @Test
    fun `the change of a proxy that was restarted is taken over - guards against a group without a primary`() {
        val earlier = proxy.peers[1].copy(incarnation = 0)
        proxy.readFleet(proxy.records(intent.copy(changedBy = earlier)))
        repeat(2) {
            proxy.advanceTime(500)
            proxy.feed(SessionEvent.PeerAnswered(endpoint("node-2"), PeerRequest.Ping, confirmed))
        }
        val taken = effects<SessionEffect.WriteFleet>().map { it.record }
        expectThat(taken).contains(intent.copy(epoch = 3))
    }

    @Test
    fun `an unresponsive proxy is expelled - guards against a change of primary that waits for a lost host`() {
        repeat(8) {
            proxy.advanceTime(1_000)
            proxy.readFleet()
            proxy.feed(SessionEvent.PeerAnswered(endpoint("node-2"), PeerRequest.Ping, confirmed))
            proxy.feed(SessionEvent.PeerAnswered(endpoint("node-3"), PeerRequest.Ping, PeerOutcome.Silent))
        }
        expectThat(writtenKeys()).contains(FleetKey.proxy("node-3")).doesNotContain(FleetKey.proxy("node-2"))
    }

    @Test
    fun `paused replicas are resumed when the primary is kept - guards against commits that never finish`() {
        val proxy = ProxyFixture(proxies = 1, synchronousReplicas = 1).ready()
        val intent = GROUP_RECORD.copy(epoch = 2, changedBy = proxy.peers.first())
        repeat(2) {
            proxy.readFleet(proxy.records(intent))
            proxy.advanceTime(200)
        }
        val paused = proxy.takeEffects().filterIsInstance<SessionEffect.SendControl>()
        expectThat(paused.map { it.command }).contains(ControlRequest.Pause(2))
        val leading = ServerStatus(ServerRole.PRIMARY, Term(1), Position(Term(1), 10))
        proxy.feed(SessionEvent.ControlAnswered(PRIMARY, ControlRequest.Status, leading))
        // The primary is kept once the time for the other servers' statuses is over.
        proxy.advanceTime(700)
        val resumed = proxy.takeEffects().filterIsInstance<SessionEffect.SendControl>()
        expectThat(resumed.filter { it.command == ControlRequest.Resume }.map { it.server.name })
            .isEqualTo(listOf(NEAR_REPLICA, FAR_REPLICA))
    }

    @Test
    fun `a planned change waits only for the successor - guards against an outage when another replica is lost`() {
        val proxy = ProxyFixture(proxies = 1, synchronousReplicas = 1).ready()
        val leaving = SERVERS.map { if (it.name == PRIMARY) server(PRIMARY, EAST, ServerRole.PRIMARY, true) else it }
        proxy.feed(SessionEvent.ServersRead(leaving.associateBy { it.name }))
        proxy.advanceTime(300)
        proxy.feed(SessionEvent.FleetWritten(FleetKey.group(GROUP), WriteOutcome.Written(Revision(20))))
        proxy.readFleet(proxy.records(GROUP_RECORD.copy(epoch = 2, changedBy = proxy.peers.first())))
        proxy.advanceTime(700)
        proxy.takeEffects()
        for ((name, role) in listOf(PRIMARY to ServerRole.PRIMARY, NEAR_REPLICA to ServerRole.REPLICA)) {
            val status = ServerStatus(role, Term(1), Position(Term(1), 10))
            proxy.feed(SessionEvent.ControlAnswered(name, ControlRequest.Status, status))
        }
        proxy.advanceTime(700)
        proxy.confirmSuccessorRecord()
        val written = proxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>().map { it.key }
        expectThat(written).contains(FleetKey.PROMOTER)
    }

    private val syncProxy = ProxyFixture(proxies = 1, synchronousReplicas = 1).ready()
    private val replicas = setOf(NEAR_REPLICA, FAR_REPLICA)
    private val starts = SERVERS.filter { it.name in replicas }.associate { it.name to it.startedAtMillis }

    /** Lets [reporting] report their status in an unplanned change that this proxy carries out. */
    private fun reportDuringChange(intent: FleetRecord.Group, reporting: List<ServerName>) {
        val own = intent.copy(changedBy = syncProxy.peers.first())
        repeat(2) {
            syncProxy.readFleet(syncProxy.records(own))
            syncProxy.advanceTime(200)
        }
        val status = ServerStatus(ServerRole.REPLICA, Term(1), Position(Term(1), 10))
        reporting.forEach { syncProxy.feed(SessionEvent.ControlAnswered(it, ControlRequest.Pause(2), status)) }
        syncProxy.takeEffects()
        syncProxy.advanceTime(1_400)
    }

    private fun requestsPromoterLock(): Boolean {
        syncProxy.confirmSuccessorRecord()
        return syncProxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>().any { it.key == FleetKey.PROMOTER }
    }

    private fun removeFarReplica() =
        syncProxy.feed(SessionEvent.ServersRead(SERVERS.filter { it.name != FAR_REPLICA }.associateBy { it.name }))

    @Test
    fun `an unplanned change waits for every replica - guards against a successor without acknowledged commits`() {
        reportDuringChange(GROUP_RECORD.copy(epoch = 2), listOf(NEAR_REPLICA))
        expectThat(requestsPromoterLock()).isFalse()
    }

    @Test
    fun `a successor is promoted once every replica has reported`() {
        val intent = GROUP_RECORD.copy(epoch = 2, replicas = replicas, floor = Position(Term(1), 10))
        reportDuringChange(intent, listOf(NEAR_REPLICA, FAR_REPLICA))
        expectThat(requestsPromoterLock()).isTrue()
    }

    @Test
    fun `a replica removed during the change must still report - guards against a lost acknowledged commit`() {
        removeFarReplica()
        syncProxy.advanceTime(4_000)
        reportDuringChange(GROUP_RECORD.copy(epoch = 2, replicas = replicas), listOf(NEAR_REPLICA))
        expectThat(requestsPromoterLock()).isFalse()
    }

    @Test
    fun `a successor must reach the floor of removed replicas - guards against a lost acknowledged commit`() {
        removeFarReplica()
        syncProxy.advanceTime(4_000)
        reportDuringChange(GROUP_RECORD.copy(epoch = 2, floor = Position(Term(1), 11)), listOf(NEAR_REPLICA))
        expectThat(requestsPromoterLock()).isFalse()
    }

    @Test
    fun `the intent lists the replicas that may hold acknowledged commits - guards against their loss at a restart`() {
        removeFarReplica()
        val leaving = SERVERS.map { if (it.name == PRIMARY) server(PRIMARY, EAST, ServerRole.PRIMARY, true) else it }
        syncProxy.feed(SessionEvent.ServersRead(leaving.filter { it.name != FAR_REPLICA }.associateBy { it.name }))
        syncProxy.takeEffects()
        syncProxy.advanceTime(200)
        val intents = syncProxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>().map { it.record }
        expectThat(intents).contains(
            GROUP_RECORD.copy(
                epoch = 2,
                changedBy = syncProxy.peers.first(),
                replicas = replicas,
                replicaStarts = starts,
            ),
        )
    }

    @Test
    fun `a primary that returns under another name is kept - guards against an outage while its log is available`() {
        val returned = server(ServerName("server-4"), EAST, ServerRole.PRIMARY)
        syncProxy.feed(SessionEvent.ServersRead(listOf(SERVERS[1], returned).associateBy { it.name }))
        reportDuringChange(GROUP_RECORD.copy(epoch = 2, replicas = replicas), listOf(NEAR_REPLICA))
        val leading = ServerStatus(ServerRole.PRIMARY, Term(1), Position(Term(1), 12))
        syncProxy.feed(SessionEvent.ControlAnswered(returned.name, ControlRequest.Pause(2), leading))
        val published = syncProxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>().map { it.record }
        val kept = GROUP_RECORD.copy(epoch = 2, primary = returned.name, replicas = replicas, replicaStarts = starts)
        expectThat(published).contains(kept)
    }

    @Test
    fun `a group finally gets a successor that may lack commits - guards against an endless outage`() {
        val intent = GROUP_RECORD.copy(epoch = 2, changedBy = syncProxy.peers.first(), replicas = replicas)
        reportDuringChange(intent, listOf(NEAR_REPLICA))
        repeat(20) {
            syncProxy.readFleet(syncProxy.records(intent))
            syncProxy.advanceTime(1_000)
        }
        expectThat(requestsPromoterLock()).isTrue()
    }

    @Test
    fun `half of the proxies keep a primary that others may reach - guards against an outage in a network partition`() {
        val proxy = ProxyFixture(proxies = 4).ready()
        proxy.send(proxy.session(1, SIGN_OFFS), WRITE)
        repeat(4) {
            proxy.advanceTime(1_000)
            val unseen = PeerOutcome.Answered(PeerAnswer.Seen(ageMillis = 5_000))
            proxy.feed(SessionEvent.PeerAnswered(endpoint("node-2"), PeerRequest.Sighting(PRIMARY), unseen))
            listOf("node-3", "node-4").forEach {
                proxy.feed(SessionEvent.PeerAnswered(endpoint(it), PeerRequest.Sighting(PRIMARY), PeerOutcome.Silent))
            }
            proxy.readFleet()
        }
        val effects = proxy.takeEffects()
        expectThat(effects.filterIsInstance<SessionEffect.AskPeer>().map { it.request })
            .contains(PeerRequest.Sighting(PRIMARY))
        expectThat(effects.filterIsInstance<SessionEffect.WriteFleet>().map { it.key })
            .doesNotContain(FleetKey.group(GROUP))
    }

    @Test
    fun `a primary that most proxies cannot reach is replaced`() {
        proxy.send(proxy.session(1, SIGN_OFFS), WRITE)
        repeat(3) {
            proxy.advanceTime(1_000)
            val unseen = PeerOutcome.Answered(PeerAnswer.Seen(ageMillis = 5_000))
            listOf("node-2", "node-3").forEach {
                proxy.feed(SessionEvent.PeerAnswered(endpoint(it), PeerRequest.Sighting(PRIMARY), unseen))
            }
        }
        expectThat(writtenKeys()).contains(FleetKey.group(GROUP))
    }

    @Test
    fun `a lease is renewed through a peer while the store rejects the proxy's reads`() {
        val abroad = FleetRecord.Proxy(proxy.peers[1], endpoint("node-2"), failureDomain = EAST)
        proxy.readFleet(proxy.records() + (FleetKey.proxy("node-2") to abroad))
        proxy.now += 9_000
        proxy.takeEffects()
        proxy.feed(SessionEvent.FleetReadFailed("status 503"))
        expectThat(effects<SessionEffect.SelectStoreSource>().map { it.peer }).isEqualTo(listOf(endpoint("node-2")))
        proxy.now += 500
        val records = proxy.records().mapValues { StoredRecord(it.value, Revision(7)) }
        proxy.feed(SessionEvent.FleetRead(MonotonicTime(10_000), records, era = 0))
        expectThat(proxy.state.fleet.leaseFrom?.millis).isEqualTo(10_000L)
    }

    @Test
    fun `the primary is not kept while another server may lead - guards against two primaries`() {
        beginPlannedChange()
        proxy.readFleet(proxy.records(intent))
        listOf("node-2", "node-3").forEach { confirmFence(it) }
        proxy.advanceTime(100)
        val restarted = SERVERS.map { it.copy(startedAtMillis = 2) }
        proxy.feed(SessionEvent.ServersRead(restarted.associateBy { it.name }))
        val old = ServerStatus(ServerRole.PRIMARY, Term(1), Position(Term(1), 10))
        proxy.feed(SessionEvent.ControlAnswered(PRIMARY, ControlRequest.Status, old))
        proxy.advanceTime(100)
        val new = ServerStatus(ServerRole.PRIMARY, Term(2), Position(Term(2), 11))
        proxy.feed(SessionEvent.ControlAnswered(NEAR_REPLICA, ControlRequest.Status, new))
        val published = effects<SessionEffect.WriteFleet>().map { it.record }.filterIsInstance<FleetRecord.Group>()
        expectThat(published.last().primary).isEqualTo(NEAR_REPLICA)
    }

    @Test
    fun `a change that was taken over promotes nobody - guards against a promotion beside a primary that is kept`() {
        beginPlannedChange()
        proxy.readFleet(proxy.records(intent))
        listOf("node-2", "node-3").forEach { confirmFence(it) }
        proxy.advanceTime(100)
        reportStatuses()
        proxy.confirmSuccessorRecord()
        val takeover = PeerRequest.Fence(GROUP.value, epoch = 3, planned = false)
        proxy.feed(SessionEvent.PeerAsked(PeerRequestNumber(1), takeover))
        proxy.feed(SessionEvent.FleetWritten(FleetKey.PROMOTER, WriteOutcome.Written(Revision(31))))
        proxy.advanceTime(1_000)
        expectThat(effects<SessionEffect.Promote>()).isEmpty()
    }
}
