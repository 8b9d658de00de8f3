package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.sessions.ProxyFixture.Companion.GROUP
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.ProxyFixture.Companion.endpoint
import dev.hibiscusreach.sessions.ProxyFixture.Companion.identity
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against a home that no change of primary asks, because it registered again while it used the group. */
class RepeatedRegistrationTest {
    private val proxy = ProxyFixture().ready()

    private fun record(node: String, expelled: Boolean = false) =
        FleetRecord.Proxy(identity(node), endpoint(node), expelled, FailureDomainName("west-1"))

    /** The record with which node-1 registers after it was expelled, in a domain of many other hosts. */
    private fun registration(): FleetRecord.Proxy {
        val others = (10..49).associate { FleetKey.proxy("node-$it") to record("node-$it") }
        proxy.takeEffects()
        proxy.readFleet(proxy.records() + others + (FleetKey.proxy("node-1") to record("node-1", expelled = true)))
        val written = proxy.takeEffects().filterIsInstance<SessionEffect.WriteFleet>().map { it.record }
        return written.filterIsInstance<FleetRecord.Proxy>().single()
    }

    @Test
    fun `a proxy registers again with the groups that it uses - guards against two primaries`() {
        proxy.send(proxy.session(1, SIGN_OFFS), WRITE)
        expectThat(registration().isHomeOf(GROUP)).isTrue()
    }

    @Test
    fun `a proxy registers again without the groups of other homes that it doesn't use`() {
        expectThat(registration().isHomeOf(GROUP)).isFalse()
    }
}
