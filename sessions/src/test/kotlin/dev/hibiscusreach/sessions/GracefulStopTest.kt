package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** A graceful stop: readiness ends first, and the process exits only after late sessions are served. */
class GracefulStopTest {
    private val proxy = ProxyFixture().ready()

    @Test
    fun `a proxy stops being ready as soon as a stop is requested`() {
        proxy.feed(SessionEvent.StopRequested)
        expectThat(proxy.state.ready).isFalse()
    }

    @Test
    fun `a session that arrives after the last one has ended is served - guards against a request cut by the exit`() {
        proxy.feed(SessionEvent.StopRequested)
        proxy.advanceTime(2_300, groups = false)
        expectThat(proxy.takeEffects()).contains(SessionEffect.StopListening).doesNotContain(SessionEffect.Exit)
        val late = proxy.session(9)
        proxy.send(late, WRITE)
        proxy.advanceTime(300, groups = false)
        expectThat(proxy.takeEffects()).doesNotContain(SessionEffect.Exit)
        proxy.complete(proxy.busyConnection(PRIMARY))
        expectThat(proxy.reply(late)).isA<SessionReply.Completed>()
        proxy.advanceTime(300, groups = false)
        expectThat(proxy.takeEffects()).contains(SessionEffect.Exit)
    }

    /** Answers one statement after the other, so that the session is never idle at a check, until [millis]. */
    private fun keepBusy(session: SessionNumber, millis: Long) {
        val end = proxy.now + millis
        while (proxy.now < end) {
            proxy.send(session, WRITE)
            proxy.advanceTime(100, groups = false)
            proxy.complete(proxy.busyConnection(PRIMARY))
        }
    }

    @Test
    fun `a session is not closed right after it was accepted or answered - guards against a request sent meanwhile`() {
        proxy.feed(SessionEvent.StopRequested)
        proxy.advanceTime(2_200, groups = false)
        val session = proxy.session(1, SIGN_OFFS)
        val close = SessionEffect.CloseSession(session)
        proxy.advanceTime(200, groups = false)
        expectThat(proxy.takeEffects()).doesNotContain(close)
        keepBusy(session, millis = 300)
        proxy.advanceTime(200, groups = false)
        expectThat(proxy.takeEffects()).doesNotContain(close)
        proxy.advanceTime(100, groups = false)
        expectThat(proxy.takeEffects()).contains(close)
    }

    private fun sentStatements(effects: List<SessionEffect>) =
        effects.filterIsInstance<SessionEffect.SendStatements>().flatMap { it.statements }

    @Test
    fun `a statement late in the drain is refused as not run - guards against a request that ends without an answer`() {
        val session = proxy.session(1, SIGN_OFFS)
        proxy.feed(SessionEvent.StopRequested)
        keepBusy(session, millis = 3_500)
        proxy.takeEffects()
        proxy.send(session, WRITE)
        expectThat(proxy.reply(session)).isA<SessionReply.Refused>().get { kind }.isEqualTo(ErrorKind.DRAINING)
        val effects = proxy.takeEffects()
        expectThat(effects).contains(SessionEffect.CloseSession(session))
        expectThat(sentStatements(effects)).isEmpty()
    }

    @Test
    fun `statements behind a refused one are refused as not run - guards against statements that get no answer`() {
        val session = proxy.session(1, SIGN_OFFS)
        proxy.feed(SessionEvent.StopRequested)
        keepBusy(session, millis = 3_500)
        proxy.send(session, WRITE)
        proxy.takeEffects()
        proxy.send(session, WRITE)
        val effects = proxy.takeEffects()
        val replies = effects.filterIsInstance<SessionEffect.Reply>().map { it.reply }
        expectThat(replies.map { (it as SessionReply.Refused).kind }).isEqualTo(listOf(ErrorKind.DRAINING))
        expectThat(sentStatements(effects)).isEmpty()
    }

    @Test
    fun `a commit late in the drain is not sent - guards against a commit that ends without an answer`() {
        val session = proxy.session(1, SIGN_OFFS)
        proxy.feed(SessionEvent.StopRequested)
        keepBusy(session, millis = 3_200)
        proxy.send(session, CallerStatement.Begin(readOnly = false))
        proxy.send(session, WRITE)
        proxy.complete(proxy.busyConnection(PRIMARY), TransactionStatus.OPEN)
        proxy.send(session, WRITE)
        proxy.advanceTime(300, groups = false)
        proxy.complete(proxy.busyConnection(PRIMARY), TransactionStatus.OPEN)
        proxy.takeEffects()
        proxy.send(session, CallerStatement.Commit)
        expectThat(proxy.reply(session)).isA<SessionReply.Refused>().get { kind }.isEqualTo(ErrorKind.TRANSACTION_ENDED)
        expectThat(sentStatements(proxy.takeEffects())).isEqualTo(listOf<ServerStatement>(ServerStatement.Rollback))
    }

    @Test
    fun `a session late in the drain is refused - guards against a session that is cut by the exit`() {
        val busy = proxy.session(1, SIGN_OFFS)
        proxy.feed(SessionEvent.StopRequested)
        keepBusy(busy, millis = 3_500)
        proxy.takeEffects()
        val late = proxy.session(2, SIGN_OFFS)
        val refused = proxy.takeEffects().filterIsInstance<SessionEffect.RefuseSession>()
        expectThat(refused.map { it.session to it.kind }).isEqualTo(listOf(late to ErrorKind.DRAINING))
    }

    @Test
    fun `a session that waits for a configuration is refused at the exit - guards against one without an answer`() {
        val starting = ProxyFixture()
        starting.feed(SessionEvent.StopRequested)
        starting.advanceTime(2_400, groups = false)
        val session = starting.session(1)
        starting.advanceTime(300, groups = false)
        val effects = starting.takeEffects()
        expectThat(effects).contains(SessionEffect.Exit)
        val refused = effects.filterIsInstance<SessionEffect.RefuseSession>()
        expectThat(refused.map { it.session to it.kind }).isEqualTo(listOf(session to ErrorKind.DRAINING))
    }

    @Test
    fun `a write that is pending at the exit is answered - guards against a request that ends without an answer`() {
        val configuration = proxy.configuration()
        val routes = configuration.routes.mapValues { it.value.copy(statementTimeout = Millis(4_000)) }
        proxy.feed(SessionEvent.ConfigurationRead(configuration.copy(version = 2, routes = routes)))
        val session = proxy.session(1, SIGN_OFFS)
        proxy.feed(SessionEvent.StopRequested)
        proxy.advanceTime(2_000, groups = false)
        proxy.send(session, WRITE)
        proxy.takeEffects()
        proxy.advanceTime(3_300, groups = false)
        val effects = proxy.takeEffects()
        expectThat(effects).contains(SessionEffect.StopListening).contains(SessionEffect.Exit)
        val replies = effects.filterIsInstance<SessionEffect.Reply>().map { it.reply }
        expectThat(replies.filterIsInstance<SessionReply.Refused>().map { it.kind })
            .isEqualTo(listOf(ErrorKind.OUTCOME_UNKNOWN))
        expectThat(effects).contains(SessionEffect.CloseSession(session))
    }
}
