package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** A statement whose text was not kept is refused as not run, and nothing of its transaction is kept. */
class DroppedStatementTest {
    private val proxy = ProxyFixture().ready()
    private val session = proxy.session(1, SIGN_OFFS)
    private val dropped = CallerStatement.Dropped("too many bytes")

    private fun refusal(status: TransactionStatus) =
        SessionReply.Refused(
            ErrorKind.OVERLOADED,
            dropped.reason,
            status,
            proxy.state.settings.statements.overloadRetryAfter,
        )

    @Test
    fun `a dropped statement is refused with retry advice - guards against a caller that gives up`() {
        proxy.send(session, dropped)
        expectThat(proxy.reply(session)).isEqualTo(refusal(TransactionStatus.NONE))
        expectThat(proxy.busyConnection(PRIMARY)).isNull()
    }

    @Test
    fun `a dropped statement rolls its transaction back - guards against a commit without it`() {
        proxy.send(session, CallerStatement.Begin(readOnly = false))
        proxy.send(session, WRITE)
        repeat(2) { proxy.complete(proxy.busyConnection(PRIMARY), TransactionStatus.OPEN) }
        proxy.takeEffects()
        proxy.send(session, dropped)
        expectThat(proxy.reply(session)).isEqualTo(refusal(TransactionStatus.FAILED))
        val sent = proxy.takeEffects().filterIsInstance<SessionEffect.SendStatements>().flatMap { it.statements }
        expectThat(sent).contains(ServerStatement.Rollback)
        proxy.send(session, CallerStatement.Commit)
        expectThat((proxy.reply(session) as SessionReply.Refused).kind).isEqualTo(ErrorKind.TRANSACTION_ENDED)
    }
}
