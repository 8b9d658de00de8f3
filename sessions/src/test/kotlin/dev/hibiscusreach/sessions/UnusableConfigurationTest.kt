package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.CallerStatement
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/**
 * A proxy that gets answers of the store which it cannot use. Guards against one that counts as ready, and so gets new
 * callers, while it refuses databases that the operators have added.
 */
class UnusableConfigurationTest {
    private val proxy = ProxyFixture().ready()

    private fun confirm(readAt: Long) = proxy.feed(SessionEvent.ConfigurationConfirmed(MonotonicTime(readAt)))

    private fun failToRead() = proxy.feed(SessionEvent.ConfigurationUnusable("too long"))

    private fun logged(message: String) =
        proxy.takeEffects().filterIsInstance<SessionEffect.Log>().count { it.message == message }

    @Test
    fun `a proxy that cannot follow the configuration is not ready until it can`() {
        confirm(proxy.now)
        expectThat(proxy.state.ready).isTrue()
        proxy.advanceTime(100)
        failToRead()
        expectThat(proxy.state.ready).isFalse()
        expectThat(proxy.state.configurationFault?.reason).isEqualTo("too long")
        proxy.advanceTime(100)
        confirm(proxy.now)
        expectThat(proxy.state.ready).isTrue()
        expectThat(proxy.state.configurationFault).isNull()
    }

    @Test
    fun `a read from before the unusable answer does not show the latest configuration`() {
        val before = proxy.now
        proxy.advanceTime(100)
        failToRead()
        confirm(before)
        expectThat(proxy.state.ready).isFalse()
    }

    @Test
    fun `the beginning and the end are logged once`() {
        repeat(3) { failToRead() }
        expectThat(logged("configuration cannot be followed")).isEqualTo(1)
        repeat(2) { confirm(proxy.now) }
        expectThat(logged("configuration followed again")).isEqualTo(1)
    }

    @Test
    fun `statements of present callers are still served - guards against an outage where no proxy can follow`() {
        val session = proxy.session(1)
        failToRead()
        proxy.takeEffects()
        proxy.send(session, CallerStatement.Run(Access.WRITE, "WRITE a b"))
        expectThat(proxy.takeEffects().any { it is SessionEffect.SendStatements }).isTrue()
    }
}
