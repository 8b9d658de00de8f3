package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.model.SessionReply
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Load after a restart, when many sessions arrive at once, and after a burst, when few connections are needed. */
class RestartLoadTest {
    private val proxy = ProxyFixture().ready()

    private fun connectionsToPrimary() = proxy.state.connections.values.count { it.server == PRIMARY }

    @Test
    fun `connections are opened for all waiting statements at once - guards against a slow start after a restart`() {
        (1L..8L).forEach { proxy.send(proxy.session(it, SIGN_OFFS), WRITE) }
        expectThat(connectionsToPrimary()).isEqualTo(8)
    }

    private inline fun <reified T : SessionEffect> effects(proxy: ProxyFixture): List<T> =
        proxy.takeEffects().filterIsInstance<T>()

    @Test
    fun `sessions that arrive before the configuration wait for it - guards against retries after a restart`() {
        val started = ProxyFixture()
        (1L..3L).forEach { started.session(it, SIGN_OFFS) }
        started.session(4, DatabaseName("unknown"))
        started.feed(SessionEvent.SessionEnded(SessionNumber(2)))
        started.advanceTime(500)
        expectThat(effects<SessionEffect.RefuseSession>(started)).isEmpty()
        started.ready()
        val effects = started.takeEffects()
        expectThat(effects.filterIsInstance<SessionEffect.AcceptSession>().map { it.session.value })
            .isEqualTo(listOf(1L, 3L))
        expectThat(effects.filterIsInstance<SessionEffect.RefuseSession>().map { it.kind })
            .isEqualTo(listOf(ErrorKind.UNKNOWN_DATABASE))
    }

    @Test
    fun `sessions are refused at once while the store is lost - guards against pointless waits of callers`() {
        val started = ProxyFixture()
        started.session(1, SIGN_OFFS)
        started.feed(SessionEvent.FleetReadFailed("no answer"))
        started.advanceTime(100)
        started.session(2, SIGN_OFFS)
        expectThat(effects<SessionEffect.RefuseSession>(started).map { it.session.value }).isEqualTo(listOf(1L, 2L))
    }

    @Test
    fun `a session waits for the configuration for a limited time`() {
        val started = ProxyFixture()
        started.session(1, SIGN_OFFS)
        started.advanceTime(1_100)
        expectThat(effects<SessionEffect.RefuseSession>(started).map { it.kind })
            .isEqualTo(listOf(ErrorKind.NO_CONFIGURATION))
    }

    @Test
    fun `idle connections are closed after a burst - guards against restarted hosts that hit the connection limit`() {
        (1L..8L).forEach { proxy.send(proxy.session(it, SIGN_OFFS), WRITE) }
        proxy.openAll()
        proxy.state.connections.values
            .filter { it.heldBy != null }
            .forEach { proxy.complete(it.number) }
        expectThat(connectionsToPrimary()).isGreaterThan(4)
        repeat(4) {
            proxy.advanceTime(1_000)
            proxy.answerProbes()
        }
        expectThat(connectionsToPrimary()).isEqualTo(1)
    }

    @Test
    fun `a statement that cannot be served in time is refused at once with a retry delay`() {
        (1L..8L).forEach { proxy.send(proxy.session(it, SIGN_OFFS), WRITE) }
        val refusals =
            (9L..400L).map { number ->
                val session = proxy.session(number, SIGN_OFFS)
                proxy.send(session, WRITE)
                proxy.reply(session) as? SessionReply.Refused
            }
        val refused = checkNotNull(refusals.last())
        expectThat(refused.kind).isEqualTo(ErrorKind.OVERLOADED)
        expectThat(refused.retryAfter?.value ?: 0).isGreaterThan(0)
    }

    @Test
    fun `a server at its connection limit is tried again after a short pause`() {
        proxy.send(proxy.session(1, SIGN_OFFS), WRITE)
        proxy.send(proxy.session(2, SIGN_OFFS), WRITE)
        val opening = proxy.state.connections.values.first { !it.open }
        proxy.feed(SessionEvent.ConnectionRefused(opening.number, ServerFailure.CONNECTION_LIMIT))
        proxy.advanceTime(200, groups = false)
        expectThat(connectionsToPrimary()).isEqualTo(1)
        proxy.advanceTime(100, groups = false)
        proxy.send(proxy.session(3, SIGN_OFFS), WRITE)
        expectThat(connectionsToPrimary()).isEqualTo(2)
    }
}
