package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.ProxyFixture.Companion.NEAR_REPLICA
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.READ
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.ProxyFixture.Companion.STATUS
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
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class SessionStatementTest {
    private val proxy = ProxyFixture().ready()

    private fun sentStatements(): List<ServerStatement> =
        proxy.takeEffects().filterIsInstance<SessionEffect.SendStatements>().flatMap { it.statements }

    private fun refusalKind(session: SessionNumber): ErrorKind? = (proxy.reply(session) as? SessionReply.Refused)?.kind

    /** Opens a transaction at the primary and completes [statement] as its first statement. */
    private fun openTransaction(statement: CallerStatement): SessionNumber {
        val session = proxy.session(1, SIGN_OFFS)
        proxy.send(session, CallerStatement.Begin(readOnly = false))
        proxy.send(session, statement)
        repeat(2) { proxy.complete(proxy.busyConnection(PRIMARY), TransactionStatus.OPEN) }
        return session
    }

    @Test
    fun `a write runs at the primary and its answer carries the server's proof - guards against a misrouted write`() {
        val session = proxy.session(1)
        proxy.send(session, WRITE)
        proxy.complete(proxy.busyConnection(PRIMARY))
        expectThat(proxy.reply(session)).isA<SessionReply.Completed>().get { proof }.isEqualTo("proof")
    }

    @Test
    fun `a read waits at a replica for the session's own write - guards against a session that misses its write`() {
        val session = proxy.session(1)
        proxy.send(session, WRITE)
        proxy.complete(proxy.busyConnection(PRIMARY), index = 12)
        proxy.takeEffects()
        proxy.send(session, READ)
        val read = sentStatements().filterIsInstance<ServerStatement.Run>().single()
        expectThat(read.minimumPosition.toString()).isEqualTo("1.12")
    }

    @Test
    fun `a bounded read is refused when no server is known to be fresh - guards against stale reads`() {
        proxy.feed(SessionEvent.FleetReadFailed("down"))
        proxy.now += 10_001
        val session = proxy.session(1, STATUS)
        proxy.send(session, READ)
        proxy.advanceTime(1_500, groups = false)
        expectThat(refusalKind(session)).isEqualTo(ErrorKind.READ_TOO_OLD)
    }

    @Test
    fun `no read at the primary runs after the lease has expired - guards against reads at a replaced primary`() {
        proxy.feed(SessionEvent.FleetReadFailed("down"))
        proxy.now += 10_001
        val session = proxy.session(1, SIGN_OFFS)
        proxy.send(session, READ)
        expectThat(refusalKind(session)).isEqualTo(ErrorKind.NO_PRIMARY)
        expectThat(proxy.busyConnection(PRIMARY)).isNull()
    }

    @Test
    fun `a lost connection after a single write leaves the outcome unknown - guards against a false refusal`() {
        val session = proxy.session(1)
        proxy.send(session, WRITE)
        val connection = checkNotNull(proxy.busyConnection(PRIMARY))
        proxy.feed(SessionEvent.ConnectionLost(connection, ConnectionFailure.BROKEN))
        expectThat(refusalKind(session)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN)
    }

    @Test
    fun `a transaction that loses its connection before its commit is refused - guards against a false success`() {
        val session = openTransaction(WRITE)
        val connection = proxy.state.connections.values.single { it.heldBy == session }
        proxy.feed(SessionEvent.ConnectionLost(connection.number, ConnectionFailure.BROKEN))
        proxy.send(session, CallerStatement.Commit)
        expectThat(refusalKind(session)).isEqualTo(ErrorKind.TRANSACTION_ENDED)
        expectThat(proxy.reply(session)?.status).isEqualTo(TransactionStatus.NONE)
    }

    @Test
    fun `values of another session are cleared from a connection - guards against values leaking between sessions`() {
        val first = proxy.session(1, SIGN_OFFS)
        proxy.send(first, CallerStatement.SetValue("site", "west"))
        proxy.send(first, READ)
        repeat(2) { proxy.complete(proxy.busyConnection(PRIMARY)) }
        proxy.takeEffects()
        val second = proxy.session(2, SIGN_OFFS)
        proxy.send(second, CallerStatement.Prepare("s1", PreparedStatement(Access.READ, "q1")))
        proxy.send(second, CallerStatement.Execute("s1", "a"))
        expectThat(sentStatements())
            .contains(ServerStatement.Reset)
            .contains(ServerStatement.Prepare(PreparedStatement(Access.READ, "q1")))
    }

    @Test
    fun `a read that fails at a replica that is behind is retried elsewhere - guards against an avoidable failure`() {
        val session = proxy.session(1, STATUS)
        proxy.send(session, READ)
        proxy.fail(proxy.busyConnection(NEAR_REPLICA), ServerFailure.BEHIND)
        proxy.openAll()
        proxy.complete(proxy.busyConnection(PRIMARY))
        expectThat(proxy.reply(session)).isA<SessionReply.Completed>()
    }

    @Test
    fun `a session that ends within a transaction releases its connection after a rollback - guards against a leak`() {
        val session = openTransaction(READ)
        val connection = proxy.state.connections.values.single { it.heldBy == session }
        proxy.takeEffects()
        proxy.feed(SessionEvent.SessionEnded(session))
        expectThat(sentStatements()).contains(ServerStatement.Rollback)
        proxy.complete(connection.number)
        expectThat(proxy.state.connections.getValue(connection.number).idle).isEqualTo(true)
    }

    @Test
    fun `an idle transaction is ended and the next statement is refused - guards against a connection held forever`() {
        val session = openTransaction(READ)
        proxy.advanceTime(3_100, groups = false)
        proxy.send(session, READ)
        expectThat(refusalKind(session)).isEqualTo(ErrorKind.TRANSACTION_ENDED)
        expectThat(proxy.reply(session)?.status).isEqualTo(TransactionStatus.FAILED)
    }
}
