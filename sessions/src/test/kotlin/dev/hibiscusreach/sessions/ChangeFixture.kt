package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ServerRole
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
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.ServerStatus

/** Carries changes of primary of a proxy out up to the promotion request; the recorded primary is the first server. */
class ChangeFixture {
    val proxy = ProxyFixture(proxies = 1).ready()
    val intent = GROUP_RECORD.copy(epoch = 2, changedBy = proxy.peers.first())
    val kept = GROUP_RECORD.copy(epoch = 2)
    val published = kept.copy(term = Term(2), primary = NEAR_REPLICA)
    val leading = ServerStatus(ServerRole.PRIMARY, Term(1), Position(Term(1), 10))
    val following = leading.copy(role = ServerRole.REPLICA)

    inline fun <reified T : SessionEffect> effects(): List<T> = proxy.takeEffects().filterIsInstance<T>()

    fun writtenRecords() = effects<SessionEffect.WriteFleet>().map { it.record }

    fun promoted() = effects<SessionEffect.Promote>().map { it.server }

    fun report(server: ServerName, status: ServerStatus) =
        proxy.feed(SessionEvent.ControlAnswered(server, ControlRequest.Status, status))

    fun confirmWrite(key: FleetKey, revision: Long) =
        proxy.feed(SessionEvent.FleetWritten(key, WriteOutcome.Written(Revision(revision))))

    /** Carries a change that [record] declares out up to the inspection of the servers. */
    fun inspectServers(record: FleetRecord.Group = intent) =
        repeat(2) {
            proxy.readFleet(proxy.records(record))
            proxy.advanceTime(200)
        }

    /** Carries a change out up to the choice of a successor; the primary reports nothing. */
    fun chooseSuccessor(record: FleetRecord.Group = intent) {
        inspectServers(record)
        report(NEAR_REPLICA, following)
        report(FAR_REPLICA, following)
        proxy.advanceTime(700)
    }

    fun requestPromotion() {
        chooseSuccessor()
        confirmWrite(FleetKey.group(GROUP), revision = 8)
        confirmWrite(FleetKey.PROMOTER, revision = 31)
    }

    fun reportAll() {
        SERVERS.forEach { report(it.name, if (it.name == PRIMARY) leading else following) }
        proxy.advanceTime(700)
    }
}
