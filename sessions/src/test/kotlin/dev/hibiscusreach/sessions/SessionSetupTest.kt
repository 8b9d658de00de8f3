package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.PreparedStatement
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** A caller's statement runs with the values and prepared statements of its session, or not at all. */
class SessionSetupTest {
    private val proxy = ProxyFixture().ready()
    private val session: SessionNumber = proxy.session(1, SIGN_OFFS)
    private val prepared = PreparedStatement(Access.WRITE, "q1")
    private val value = ServerStatement.SetValue("site", "west")
    private val write = ServerStatement.Run("request-1", WRITE.text, minimumPosition = null)

    private fun sentStatements(): List<ServerStatement> =
        proxy.takeEffects().filterIsInstance<SessionEffect.SendStatements>().flatMap { it.statements }

    private fun setValue() = proxy.send(session, CallerStatement.SetValue(value.name, value.value))

    private fun begin() = proxy.send(session, CallerStatement.Begin(readOnly = false))

    private fun refusalKind(): ErrorKind? = (proxy.reply(session) as? SessionReply.Refused)?.kind

    private fun answer(status: TransactionStatus = TransactionStatus.NONE) =
        proxy.complete(proxy.busyConnection(PRIMARY), status)

    @Test
    fun `a statement is sent once its session is set up - guards against one that runs with other values`() {
        setValue()
        proxy.takeEffects()
        proxy.send(session, WRITE)
        expectThat(sentStatements()).isEqualTo(listOf(value))
        answer()
        expectThat(sentStatements()).isEqualTo(listOf(write))
        answer()
        expectThat(proxy.reply(session)).isA<SessionReply.Completed>()
    }

    @Test
    fun `a prepared statement is executed once it is prepared - guards against one that runs behind a failure`() {
        proxy.send(session, CallerStatement.Prepare("s1", prepared))
        proxy.takeEffects()
        proxy.send(session, CallerStatement.Execute("s1", "a b"))
        expectThat(sentStatements()).isEqualTo(listOf(ServerStatement.Prepare(prepared)))
        answer()
        expectThat(sentStatements().single()).isA<ServerStatement.Execute>()
    }

    @Test
    fun `a write whose setup always fails is refused as not run - guards against a write that runs behind it`() {
        setValue()
        proxy.takeEffects()
        proxy.send(session, WRITE)
        val sent = mutableListOf<ServerStatement>()
        var refusal: ErrorKind? = null
        repeat(ATTEMPTS) {
            proxy.busyConnection(PRIMARY)?.let { proxy.fail(it, ServerFailure.FAILED) }
            proxy.openAll()
            refusal = refusalKind() ?: refusal
            sent += sentStatements()
        }
        expectThat(sent.filterIsInstance<ServerStatement.Run>()).isEmpty()
        expectThat(refusal).isEqualTo(ErrorKind.SERVER_UNREACHABLE)
    }

    @Test
    fun `a transaction whose setup fails is ended - guards against a statement that runs behind the failure`() {
        begin()
        proxy.send(session, WRITE)
        repeat(2) { answer(TransactionStatus.OPEN) }
        setValue()
        proxy.takeEffects()
        proxy.send(session, WRITE)
        expectThat(sentStatements()).isEqualTo(listOf(value))
        proxy.fail(proxy.busyConnection(PRIMARY), ServerFailure.FAILED)
        expectThat(refusalKind()).isEqualTo(ErrorKind.TRANSACTION_ENDED)
        expectThat(sentStatements()).isEmpty()
    }

    @Test
    fun `a transaction is set up before it begins - guards against a statement that waits for a setup of its own`() {
        proxy.send(session, CallerStatement.Prepare("s1", prepared))
        begin()
        proxy.takeEffects()
        proxy.send(session, CallerStatement.Execute("s1", "a b"))
        expectThat(sentStatements())
            .isEqualTo(listOf(ServerStatement.Prepare(prepared), ServerStatement.Begin(readOnly = false, null)))
        answer()
        answer(TransactionStatus.OPEN)
        expectThat(sentStatements().single()).isA<ServerStatement.Execute>()
    }

    @Test
    fun `a write is not sent if the lease ended during its setup - guards against a write at a replaced primary`() {
        setValue()
        proxy.send(session, WRITE)
        proxy.feed(SessionEvent.FleetReadFailed("down"))
        proxy.now += LEASE_MILLIS
        answer()
        expectThat(refusalKind()).isEqualTo(ErrorKind.NO_PRIMARY)
        expectThat(sentStatements().filterIsInstance<ServerStatement.Run>()).isEmpty()
    }

    @Test
    fun `a write whose setup is never answered is refused as not run - guards against an unknown outcome`() {
        setValue()
        proxy.send(session, WRITE)
        val connection = checkNotNull(proxy.busyConnection(PRIMARY))
        proxy.takeEffects()
        proxy.advanceTime(STATEMENT_MILLIS, groups = false)
        expectThat(refusalKind()).isEqualTo(ErrorKind.DEADLINE_EXCEEDED)
        expectThat(proxy.takeEffects()).contains(SessionEffect.CloseConnection(connection))
    }

    private companion object {
        const val ATTEMPTS = 10
        const val LEASE_MILLIS = 10_001L
        const val STATEMENT_MILLIS = 1_100L
    }
}
