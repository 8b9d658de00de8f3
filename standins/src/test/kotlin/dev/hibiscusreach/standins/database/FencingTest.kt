package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class FencingTest {
    private val group = ServerGroup().apply { promote("a", term = 1) }

    @Test
    fun `a fenced primary refuses writes, so that a paused proxy cannot write to a replaced primary`() {
        group.control("a", ControlCommand.Fence(Term(2), ServerGroup.PROPOSER))

        expectThat(group.write("a", term = 1, "put k v")).isA<SessionAnswer.WrongTerm>()
        expectThat(group.write("a", term = 2, "put k v")).isA<SessionAnswer.WrongTerm>()
    }

    @Test
    fun `a second proposer of a term is refused, so that a term has one primary`() {
        group.control("b", ControlCommand.Fence(Term(2), ServerGroup.PROPOSER))

        expectThat(group.control("b", ControlCommand.Fence(Term(2), ServerGroup.OTHER_PROPOSER)))
            .isA<ControlAnswer.Refused>()
        expectThat(group.control("b", ControlCommand.Promote(Term(2), ServerGroup.OTHER_PROPOSER)))
            .isA<ControlAnswer.Refused>()
        expectThat(group.control("b", ControlCommand.Fence(Term(2), ServerGroup.PROPOSER)))
            .isA<ControlAnswer.Confirmed>()
    }

    @Test
    fun `a promotion sent twice has one effect, because its answer can be lost`() {
        val first = group.control("a", ControlCommand.Promote(Term(1), ServerGroup.PROPOSER))

        expectThat(first).isA<ControlAnswer.Confirmed>().get { status.applied }.isEqualTo(Position(Term(1), 1))
        expectThat(group.server("a").status(0).role).isEqualTo(ServerRole.PRIMARY)
    }

    @Test
    fun `a diverged tail of a replaced primary is removed, so that unacknowledged writes do not reappear`() {
        group.replicate("b")
        group.write("a", term = 1, "put k lost", id = "r")
        group.write("a", term = 1, "put k lost2")
        group.promote("b", term = 2)
        group.write("b", term = 2, "put k kept")
        group.replicate("a")

        expectThat(group.read("a", term = 2, "get k").value).isEqualTo("kept")
        expectThat(group.server("a").status(0).applied).isEqualTo(Position(Term(2), 3))
        group.promote("a", term = 3)
        expectThat(group.write("a", term = 3, "put k again", id = "r"))
            .isA<SessionAnswer.Done>()
            .get { replayed }
            .isEqualTo(false)
    }

    @Test
    fun `a diverged tail longer than one batch is replaced, so that replication does not stall`() {
        repeat(1_000) { group.write("a", term = 1, "add k 1") }
        repeat(6) { group.replicate("b") }
        repeat(600) { group.write("a", term = 1, "add lost 1") }
        group.promote("b", term = 2)
        repeat(6) { group.replicate("a") }

        expectThat(group.server("a").status(0).applied).isEqualTo(Position(Term(2), 1_002))
        expectThat(group.read("a", term = 2, "get lost").value).isNull()
    }

    @Test
    fun `a replica takes entries only from the primary of its term, so that a late answer changes nothing`() {
        group.write("a", term = 1, "put k late")
        val late = group.server("a").entriesFor(group.server("b").replicationRequest()!!)!!
        group.promote("c", term = 2, fenced = listOf("b", "c"))
        group.server("b").replicate(late)

        expectThat(group.server("b").status(0).applied).isEqualTo(Position.ORIGIN)
        expectThat(group.server("a").entriesFor(group.server("b").replicationRequest()!!)).isNull()
    }

    @Test
    fun `a confirm is answered when the position arrives, so that no write is acknowledged before`() {
        group.write("a", term = 1, "put k v")
        val confirm = ControlCommand.Confirm(Term(1), Position(Term(1), 2), waitMillis = 100)

        expectThat(group.control("b", confirm)).isNull()
        expectThat(group.server("b").completedConfirms(group.now)).isEqualTo(emptyList())
        group.replicate("b")
        expectThat(group.server("b").completedConfirms(group.now).single().answer).isA<ControlAnswer.Confirmed>()
    }

    @Test
    fun `a confirm is refused when its term or time is over, so that a replaced primary's write is not acknowledged`() {
        val confirm = ControlCommand.Confirm(Term(1), Position(Term(1), 2), waitMillis = 100)
        group.control("b", confirm)
        group.control("c", confirm)
        group.control("c", ControlCommand.Fence(Term(2), ServerGroup.PROPOSER))

        expectThat(group.server("c").completedConfirms(0).single().answer).isA<ControlAnswer.Refused>()
        expectThat(group.server("b").nextConfirmDeadline).isNotNull().isEqualTo(100)
        expectThat(group.server("b").completedConfirms(100).single().answer).isA<ControlAnswer.Refused>()
    }

    @Test
    fun `a confirm of a diverged entry is refused, so that a later position does not count as holding it`() {
        group.replicate("b")
        group.write("a", term = 1, "put k lost")
        group.promote("b", term = 2)
        repeat(3) { group.write("b", term = 2, "add n 1") }
        group.replicate("c")

        expectThat(group.control("c", ControlCommand.Confirm(Term(2), Position(Term(1), 2), waitMillis = 100)))
            .isA<ControlAnswer.Refused>()
    }

    @Test
    fun `a server follows one primary per term, so that two primaries of a term cannot both be followed`() {
        expectThat(group.control("b", ControlCommand.Follow(Term(1), ServerName("c")))).isA<ControlAnswer.Refused>()
        expectThat(group.control("a", ControlCommand.Follow(Term(1), ServerName("b")))).isA<ControlAnswer.Refused>()
        expectThat(group.control("b", ControlCommand.Promote(Term(1), ServerGroup.PROPOSER)))
            .isA<ControlAnswer.Refused>()
    }
}
