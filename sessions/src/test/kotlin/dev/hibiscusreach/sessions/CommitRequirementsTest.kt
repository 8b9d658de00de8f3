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
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.TimerSubject
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
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull

/**
 * Commits wait for a replica. A replica that was removed may be the only one with an acknowledged commit, and the
 * processes that saw it go may end before the primary fails: a successor must not be chosen without it all the same.
 */
class CommitRequirementsTest {
    private val both = setOf(NEAR_REPLICA, FAR_REPLICA)
    private var stored = StoredRecord(GROUP_RECORD, Revision(7))

    private fun started(
        servers: Set<ServerName>,
        proxies: Int = 1,
        restarted: Set<ServerName> = emptySet(),
    ): ProxyFixture {
        val proxy = ProxyFixture(proxies, synchronousReplicas = 1)
        proxy.feed(SessionEvent.ConfigurationRead(proxy.configuration()))
        proxy.readServers(servers, restarted)
        proxy.readStore()
        proxy.feed(SessionEvent.TimerFired(TimerSubject.GROUPS))
        proxy.openAll()
        proxy.feed(SessionEvent.TimerFired(TimerSubject.GROUPS))
        return proxy
    }

    private fun ProxyFixture.readServers(names: Set<ServerName>, restarted: Set<ServerName> = emptySet()) {
        val present = SERVERS.filter { it.name in names }
        val entries = present.map { if (it.name in restarted) it.copy(startedAtMillis = LATER_START) else it }
        feed(SessionEvent.ServersRead(entries.associateBy { it.name }))
    }

    private fun ProxyFixture.readStore() {
        val others = records().filterKeys { it != FleetKey.group(GROUP) }
        val all = others.mapValues { StoredRecord(it.value, Revision(7)) } + (FleetKey.group(GROUP) to stored)
        feed(SessionEvent.FleetRead(MonotonicTime(now), all, era = 0))
    }

    /** Carries out the writes of the group's record since the last call, and lets the proxy read the store. */
    private fun ProxyFixture.carryOutWrites() {
        for (write in takeEffects().filterIsInstance<SessionEffect.WriteFleet>()) {
            val record = write.record as? FleetRecord.Group ?: continue
            val matches = write.expectedRevision == stored.revision
            if (matches) stored = StoredRecord(record, Revision(stored.revision.number + 1))
            val outcome = if (matches) WriteOutcome.Written(stored.revision) else WriteOutcome.Conflict
            feed(SessionEvent.FleetWritten(write.key, outcome, record))
        }
        readStore()
    }

    private fun ProxyFixture.run(millis: Long, step: () -> Unit = {}) =
        repeat((millis / STEP_MILLIS).toInt()) {
            advanceTime(STEP_MILLIS)
            step()
            carryOutWrites()
        }

    /** Lets the primary be silent, and the [replicas] report that they have received the log up to [index]. */
    private fun ProxyFixture.failPrimary(index: Long, millis: Long, replicas: Set<ServerName> = setOf(NEAR_REPLICA)) =
        run(millis) {
            val status = ServerStatus(ServerRole.REPLICA, Term(1), Position(Term(1), index))
            if (stored.group.changedBy != null) {
                replicas.forEach { feed(SessionEvent.ControlAnswered(it, PAUSE, status)) }
            }
        }

    /** Fails the primary, and expects that the change waits for another log although the [replicas] report. */
    private fun ProxyFixture.expectNoSuccessor(replicas: Set<ServerName>) {
        failPrimary(index = 9, millis = 8_000, replicas = replicas)
        expectThat(stored.group.changedBy).isNotNull()
        expectThat(stored.group.successor).isEqualTo(null)
    }

    private val StoredRecord.group get() = record as FleetRecord.Group

    private val all = SERVERS.map { it.name }.toSet()

    @Test
    fun `a process that starts after a removal waits for the removed replica - guards against a lost commit`() {
        started(all).run(1_000)
        started(all - FAR_REPLICA).expectNoSuccessor(replicas = setOf(NEAR_REPLICA))
    }

    @Test
    fun `a process that starts later requires the log that covers a removal - guards against a lost commit`() {
        val before = started(all)
        before.run(500)
        before.readServers(all - FAR_REPLICA)
        before.run(1_000) { before.answerProbes() }
        expectThat(stored.group.replicas).isEqualTo(setOf(NEAR_REPLICA))
        expectThat(stored.group.floor).isEqualTo(Position(Term(1), 10))
        started(all - FAR_REPLICA).failPrimary(index = 9, millis = 8_000)
        expectThat(stored.group.successor).isEqualTo(null)
    }

    @Test
    fun `a replica with the log that covers a removal is chosen - guards against a needless outage`() {
        stored = StoredRecord(
            GROUP_RECORD.copy(replicas = setOf(NEAR_REPLICA), floor = Position(Term(1), 10)),
            Revision(7)
        )
        started(all - FAR_REPLICA).failPrimary(index = 10, millis = 5_000)
        expectThat(stored.group.successor).isEqualTo(NEAR_REPLICA)
    }

    @Test
    fun `a replica that is registered again is required again - guards against a removal that hides its commits`() {
        stored = StoredRecord(GROUP_RECORD.copy(replicas = setOf(NEAR_REPLICA)), Revision(7))
        val proxy = started(all - FAR_REPLICA)
        proxy.run(300)
        proxy.readServers(all)
        proxy.run(500)
        expectThat(stored.group.replicas).isEqualTo(both)
    }

    @Test
    fun `a replica that started again does not stand for its earlier log - guards against a lost commit`() {
        val proxy = started(all)
        proxy.run(500)
        proxy.readServers(all, restarted = setOf(FAR_REPLICA))
        proxy.expectNoSuccessor(replicas = both)
    }

    @Test
    fun `a replica that starts again during the change does not stand for its log - guards against a lost commit`() {
        val proxy = started(all)
        proxy.run(500)
        proxy.failPrimary(index = 9, millis = 3_000, replicas = setOf(FAR_REPLICA))
        expectThat(stored.group.changedBy).isNotNull()
        proxy.readServers(all, restarted = setOf(FAR_REPLICA))
        proxy.failPrimary(index = 9, millis = 5_000, replicas = both)
        expectThat(stored.group.successor).isEqualTo(null)
    }

    @Test
    fun `a process that starts after a restart of a replica waits for its log - guards against a lost commit`() {
        started(all).run(1_000)
        started(all, restarted = setOf(FAR_REPLICA)).expectNoSuccessor(replicas = both)
    }

    @Test
    fun `a replica that left and came back without its log does not stand for it - guards against a lost commit`() {
        val proxy = started(all)
        proxy.run(300)
        proxy.readServers(all - FAR_REPLICA)
        proxy.run(300)
        proxy.readServers(all, restarted = setOf(FAR_REPLICA))
        proxy.expectNoSuccessor(replicas = both)
    }

    @Test
    fun `a log that covers a restart is enough - guards against a needless outage after each restart of a replica`() {
        val proxy = started(all)
        proxy.run(500)
        proxy.readServers(all, restarted = setOf(FAR_REPLICA))
        proxy.run(1_000) { proxy.answerProbes() }
        expectThat(stored.group.replicaStarts[FAR_REPLICA]).isEqualTo(LATER_START)
        expectThat(stored.group.floor).isEqualTo(Position(Term(1), 10))
        proxy.failPrimary(index = 10, millis = 5_000, replicas = both)
        expectThat(stored.group.successor).isNotNull()
    }

    @Test
    fun `a primary that is kept keeps the requirements - guards against their loss by a change without effect`() {
        val floor = Position(Term(1), 10)
        stored = StoredRecord(GROUP_RECORD.copy(replicas = both, floor = floor), Revision(7))
        val proxy = started(all - FAR_REPLICA)
        val leading = ServerStatus(ServerRole.PRIMARY, Term(1), Position(Term(1), 12))
        proxy.run(6_000) {
            if (stored.group.changedBy != null) {
                proxy.feed(SessionEvent.ControlAnswered(PRIMARY, ControlRequest.Status, leading))
            }
        }
        expectThat(stored.group.epoch).isGreaterThan(1)
        expectThat(stored.group.replicas).isEqualTo(both)
        expectThat(stored.group.floor).isEqualTo(floor)
    }

    @Test
    fun `a new primary's successor must reach its position - guards against commits that only the new primary has`() {
        stored = StoredRecord(GROUP_RECORD.copy(replicas = setOf(NEAR_REPLICA)), Revision(7))
        val proxy = started(all - FAR_REPLICA)
        proxy.run(6_000) {
            val isNamed = stored.group.successor == NEAR_REPLICA
            val role = if (isNamed) ServerRole.PRIMARY else ServerRole.REPLICA
            val status = ServerStatus(role, if (isNamed) Term(2) else Term(1), Position(Term(1), 10))
            if (stored.group.changedBy != null) proxy.feed(SessionEvent.ControlAnswered(NEAR_REPLICA, PAUSE, status))
        }
        expectThat(stored.group.primary).isEqualTo(NEAR_REPLICA)
        expectThat(stored.group.floor).isEqualTo(Position(Term(1), 10))
    }

    @Test
    fun `one proxy writes the requirements at first - guards against a write by every proxy`() {
        val proxy = started(all, proxies = 8)
        val written = proxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>().map { it.key }
        val isFirst = proxy.state.self.identity.node.plus(GROUP.value).hashCode() ==
            proxy.peers.minOf { (it.node + GROUP.value).hashCode() }
        if (isFirst) expectThat(written).contains(FleetKey.group(GROUP)) else expectThat(written).isEmpty()
    }

    @Test
    fun `other requirements leave the primary in use - guards against an outage when a replica comes or goes`() {
        val proxy = started(all)
        proxy.carryOutWrites()
        stored = StoredRecord(GROUP_RECORD.copy(replicas = setOf(NEAR_REPLICA)), Revision(20))
        proxy.readStore()
        expectThat(proxy.state.groups.getValue(GROUP)) {
            get { record }.isEqualTo(stored.group)
            get { revision }.isEqualTo(Revision(20))
            get { fence }.isEqualTo(null)
        }
    }

    @Test
    fun `a written requirement does not confirm an intent - guards against a change that the store does not know`() {
        val proxy = started(all)
        proxy.takeEffects()
        proxy.advanceTime(3_000)
        val written = proxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>().map { it.record }
        val intent = written.filterIsInstance<FleetRecord.Group>().first { it.changedBy != null }
        val requirements = GROUP_RECORD.copy(replicas = both)
        val key = FleetKey.group(GROUP)
        proxy.feed(SessionEvent.FleetWritten(key, WriteOutcome.Written(Revision(8)), requirements))
        expectThat(proxy.takeEffects()).doesNotContain(SessionEffect.WriteFleet(key, intent, Revision(8)))
        expectThat(proxy.state.groups.getValue(GROUP).record).isEqualTo(GROUP_RECORD)
    }

    private companion object {
        const val STEP_MILLIS = 100L
        const val LATER_START = 2L
        val PAUSE = ControlRequest.Pause(2)
    }
}
