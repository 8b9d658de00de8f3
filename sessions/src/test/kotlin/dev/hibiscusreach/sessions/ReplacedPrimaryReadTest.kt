package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.SIGN_OFFS
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull

/** Guards against reads of the newest data at a server that follows a primary which this proxy does not know yet. */
class ReplacedPrimaryReadTest {
    private val proxy = ProxyFixture().ready()
    private val session = proxy.session(1, SIGN_OFFS)

    private fun answerRead(term: Long) {
        val connection = checkNotNull(proxy.busyConnection(PRIMARY))
        val result = ServerAnswer.Result.Completed("proof")
        val answer = ServerAnswer(listOf("row"), result, TransactionStatus.NONE, Position(Term(term), 10))
        proxy.feed(SessionEvent.ServerAnswered(connection, answer))
    }

    private fun sendRead() {
        proxy.takeEffects()
        proxy.send(session, ProxyFixture.READ)
    }

    @Test
    fun `a read at a log of a later term is not answered with its rows - guards against stale reads`() {
        sendRead()
        answerRead(term = 2)
        expectThat(proxy.reply(session)).isNull()
        expectThat(proxy.takeEffects().filterIsInstance<SessionEffect.ReadFleet>()).isNotEmpty()
    }

    @Test
    fun `a read that stays without a primary is refused - guards against a caller that waits for its deadline`() {
        sendRead()
        repeat(PERIODS) {
            if (proxy.busyConnection(PRIMARY) != null) answerRead(term = 2)
            proxy.advanceTime(100)
        }
        expectThat(proxy.reply(session)).isA<SessionReply.Refused>()
    }

    @Test
    fun `a log of a later term says nothing of the primary's position - guards against old bounded reads`() {
        proxy.advanceTime(200, groups = false)
        sendRead()
        answerRead(term = 2)
        expectThat(proxy.state.groups.values.flatMap { it.heads }.filter { it.position.term > Term(1) }).isEmpty()
    }

    @Test
    fun `a read at a log of the known term is answered`() {
        sendRead()
        answerRead(term = 1)
        expectThat(proxy.reply(session)).isA<SessionReply.Completed>()
    }

    private companion object {
        /** Periods in which the proxy uses up all attempts of a statement; shorter than the statement's timeout. */
        const val PERIODS = 8
    }
}
