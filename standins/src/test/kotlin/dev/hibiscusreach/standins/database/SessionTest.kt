package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.Term
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class SessionTest {
    private val term = Term(1)
    private val group = ServerGroup().apply { promote("a", term = 1) }

    private fun begin() = group.send("a", SessionCommand.Begin(term, Position.ORIGIN))

    private fun run(vararg texts: String) = group.send("a", SessionCommand.Run(term, texts.map { Statement(it) }))

    private fun commit(id: String, fingerprint: String = "f") =
        group.send("a", SessionCommand.Commit(term, IdempotencyKey(RequestIdentifier(id), fingerprint)))

    private fun resolve(name: String, term: Long, id: String) =
        group.send(name, SessionCommand.Resolve(Term(term), RequestIdentifier(id)))

    @Test
    fun `a repeated write after a failover returns the recorded results, so that a sign-off runs once`() {
        val first = group.write("a", term = 1, "add count 1", id = "r")
        group.replicate("b")
        group.promote("b", term = 2)
        val second = group.write("b", term = 2, "add count 1", id = "r")

        expectThat(second).isA<SessionAnswer.Done>().get { replayed }.isTrue()
        expectThat(second.value).isEqualTo(first.value)
        expectThat((second as SessionAnswer.Done).position).isEqualTo((first as SessionAnswer.Done).position)
        expectThat(group.read("b", term = 2, "get count").value).isEqualTo("1")
    }

    @Test
    fun `an identifier with another fingerprint is refused, so that a reused identifier hides no request`() {
        group.write("a", term = 1, "put k v", id = "r")

        expectThat(group.write("a", term = 1, "put k w", id = "r", fingerprint = "g"))
            .isA<SessionAnswer.IdentifierReused>()
        expectThat(commit("r", fingerprint = "g")).isA<SessionAnswer.IdentifierReused>()
    }

    @Test
    fun `a resolved identifier never runs later, so that not run stays true after a failover`() {
        val cancelled = resolve("a", 1, "r")
        group.replicate("b")
        group.promote("b", term = 2)

        expectThat(cancelled).isA<SessionAnswer.Cancelled>().get { position }.isEqualTo(Position(term, 2))
        expectThat(group.write("b", term = 2, "add count 1", id = "r")).isA<SessionAnswer.Cancelled>()
        expectThat(resolve("b", 2, "r")).isA<SessionAnswer.Cancelled>()
    }

    @Test
    fun `resolving a request that ran returns its results, so that it is not reported as not run`() {
        group.write("a", term = 1, "add count 1", id = "r")

        expectThat(resolve("a", 1, "r").value).isEqualTo("1")
    }

    @Test
    fun `records end after a day or above the limit, so that memory stays bounded`() {
        val small = ServerGroup(RecordLimits(retentionMillis = 100, maximumRecords = 2)).apply { promote("a", 1) }
        listOf("r", "s", "t").forEach { small.write("a", term = 1, "add count 1", id = it) }
        expectThat(small.write("a", term = 1, "add count 1", id = "t").value).isEqualTo("3")
        expectThat(small.write("a", term = 1, "add count 1", id = "r").value).isEqualTo("4")
        small.now = 101
        expectThat(small.write("a", term = 1, "add count 1", id = "t").value).isEqualTo("5")
    }

    @Test
    fun `a transaction whose read key changed conflicts, so that no update is lost`() {
        begin()
        run("add stock -1")
        group.server("a").openSession(2)
        val write = SessionCommand.Execute(term, listOf(Statement("add stock 5")), true, Position.ORIGIN)
        group.server("a").execute(2, write, 0)

        expectThat(commit("r")).isA<SessionAnswer.Conflict>()
        expectThat(commit("r")).isA<SessionAnswer.NoTransaction>()
        expectThat(group.read("a", term = 1, "get stock").value).isEqualTo("5")
    }

    @Test
    fun `a commit sent again is answered from its record, because its answer can be lost`() {
        begin()
        run("put a 1", "put b 2")
        expectThat(group.read("a", term = 1, "get a").value).isEqualTo(null)
        val first = commit("r")

        expectThat(first).isA<SessionAnswer.Done>().get { replayed }.isFalse()
        expectThat(commit("r")).isA<SessionAnswer.Done>().get { replayed }.isTrue()
        expectThat(group.read("a", term = 1, "get b").value).isEqualTo("2")
    }

    @Test
    fun `a rejected statement rolls the transaction back, so that no half of it stays`() {
        begin()
        expectThat(run("put a 1", "check a 2")).isA<SessionAnswer.Rejected>()
        expectThat(commit("r")).isA<SessionAnswer.NoTransaction>()
        expectThat(group.write("a", term = 1, "put k")).isA<SessionAnswer.Rejected>()
        expectThat(group.read("a", term = 1, "put k v")).isA<SessionAnswer.Rejected>()
    }

    @Test
    fun `reset drops the transaction, so that the next user of the connection cannot commit it`() {
        begin()
        run("put a 1")
        group.send("a", SessionCommand.Reset(term))

        expectThat(commit("r")).isA<SessionAnswer.NoTransaction>()
    }

    @Test
    fun `a replica that lacks the minimum position says so, so that a session reads its own writes`() {
        group.write("a", term = 1, "put k v")
        expectThat(group.read("b", term = 1, "get k", Position(term, 2))).isA<SessionAnswer.Behind>()
        group.replicate("b")
        expectThat(group.read("b", term = 1, "get k", Position(term, 2)).value).isEqualTo("v")
    }

    @Test
    fun `sessions above the connection limit are refused, because connections are scarce`() {
        val server = group.server("a")

        expectThat(server.openSession(2)).isTrue()
        expectThat(server.openSession(3)).isFalse()
        server.closeSession(2)
        expectThat(server.openSession(3)).isTrue()
    }

    @Test
    fun `parameters fill placeholders in order and may hold spaces, so that values need no quoting`() {
        val statement = Statement("put ? ?", listOf("key", "a value"))
        group.send("a", SessionCommand.Execute(term, listOf(statement), true, Position.ORIGIN))

        expectThat(group.read("a", term = 1, "get key").value).isEqualTo("a value")
    }
}
