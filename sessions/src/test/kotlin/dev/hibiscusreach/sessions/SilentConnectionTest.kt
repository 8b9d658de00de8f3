package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.READ
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isNotNull

/** A server that accepted a statement and never answers it takes a place in the pool for a limited time only. */
class SilentConnectionTest {
    private val proxy = ProxyFixture().ready()
    private val limit = proxy.state.settings.connections.answerTimeout.value

    private fun waitingFor(purpose: Purpose): ConnectionNumber {
        val waiting = proxy.state.connections.values.filter { it.outstanding.any { sent -> sent.purpose == purpose } }
        return waiting.single().number
    }

    private fun expectClosedInTime(connection: ConnectionNumber) {
        proxy.takeEffects()
        proxy.advanceTime(limit - MARGIN_MILLIS)
        expectThat(proxy.state.connections.keys).contains(connection)
        proxy.advanceTime(2 * MARGIN_MILLIS)
        expectThat(proxy.state.connections.keys).doesNotContain(connection)
        expectThat(proxy.takeEffects()).contains(SessionEffect.CloseConnection(connection))
    }

    @Test
    fun `a connection with an unanswered ROLLBACK is closed - guards against a pool that silent connections fill`() {
        val session = proxy.session(1, SIGN_OFFS)
        proxy.send(session, CallerStatement.Begin(readOnly = false))
        proxy.send(session, READ)
        repeat(2) { proxy.complete(proxy.busyConnection(PRIMARY), TransactionStatus.OPEN) }
        proxy.send(session, CallerStatement.Rollback)
        expectClosedInTime(waitingFor(Purpose.ROLLBACK))
    }

    @Test
    fun `a connection with an unanswered STATUS is closed - guards against a position that is never asked for again`() {
        proxy.advanceTime(PROBE_MILLIS)
        val silent = waitingFor(Purpose.PROBE)
        expectClosedInTime(silent)
        proxy.openAll()
        proxy.advanceTime(PROBE_MILLIS)
        expectThat(proxy.busyConnection(PRIMARY)).isNotNull()
    }

    @Test
    fun `a connection is closed that never answers a session that has ended - guards against a pool that it fills`() {
        val session = proxy.session(1, SIGN_OFFS)
        proxy.send(session, READ)
        proxy.feed(SessionEvent.SessionEnded(session))
        expectClosedInTime(waitingFor(Purpose.CALLER))
    }

    private companion object {
        /** More than the period of the checks, twice. */
        const val MARGIN_MILLIS = 300L

        /** More than the period after which the position of the primary is asked for. */
        const val PROBE_MILLIS = 700L
    }
}
