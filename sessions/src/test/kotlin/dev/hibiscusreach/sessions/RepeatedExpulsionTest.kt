package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.ProxyFixture.Companion.endpoint
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.StoredRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty

/** Guards against a lease that is taken for expired because its proxy had been expelled once before. */
class RepeatedExpulsionTest {
    private val proxy = ProxyFixture().ready()
    private val key = FleetKey.proxy("node-3")

    /** Reads the records once a second for [seconds], with node-3 expelled at [revision]. */
    private fun readExpelled(revision: Long, seconds: Int) =
        repeat(seconds) {
            val expelled = FleetRecord.Proxy(ProxyFixture.identity("node-3"), endpoint("node-3"), expelled = true)
            val records = proxy.records().mapValues { StoredRecord(it.value, Revision(7)) }
            val read = records + (key to StoredRecord(expelled, Revision(revision)))
            proxy.feed(SessionEvent.FleetRead(MonotonicTime(proxy.now), read, era = 0))
            repeat(10) {
                proxy.advanceTime(100)
                proxy.answerProbes()
            }
        }

    private fun deletions() = proxy.takeEffects().filterIsInstance<SessionEffect.DeleteFleet>().filter { it.key == key }

    @Test
    fun `a proxy that is expelled again keeps its record for another lease - guards against two primaries`() {
        readExpelled(revision = 30, seconds = 8)
        readExpelled(revision = 32, seconds = 9)
        expectThat(deletions()).isEmpty()
        readExpelled(revision = 32, seconds = 3)
        expectThat(deletions()).isNotEmpty()
    }
}
