package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.RequestBody
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class TransactionTest {
    private val harness = RequestHarness()

    // Guards against a transaction whose statements reach different connections.
    @Test
    fun `a transaction keeps its connection until its commit is durable`() {
        val transaction = begin()
        run(transaction, number = 2)
        harness.answer(done(at(10)))
        commit(transaction, number = 3)
        harness.answer(done(at(11)))
        expectThat(harness.answers).hasSize(2)
        harness.reachDurability()
        harness.confirmLeadership()

        expectThat(harness.answers.last()).isA<CallerAnswer.Completed>().get { position }.isEqualTo(at(11))
        expectThat(harness.commands.map { it.connection }.distinct()).hasSize(1)
        expectThat(returned()).containsExactly(ConnectionCondition.CLEAN)
        expectThat(harness.state.requests.transactions.toMap()).isEmpty()
    }

    // Guards against two requests of a transaction whose answers mix, and against the use by another caller.
    @Test
    fun `a transaction takes one request at a time and only from its caller`() {
        val transaction = begin()
        run(transaction, number = 2)
        run(transaction, number = 3)
        commit(transaction, number = 4)
        harness.arrive(RequestBody.RollbackTransaction(transaction), number = 5, caller = Fixture.OFFICE)

        expectThat(harness.answers.drop(1).map { (it as CallerAnswer.Refused).kind })
            .containsExactly(ErrorKind.CONFLICT, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TRANSACTION_UNKNOWN)
    }

    // Guards against a transaction that goes on without the statements of its lost connection.
    @Test
    fun `a connection lost before the commit ends the transaction as not run`() {
        val transaction = begin()
        run(transaction, number = 2)
        harness.breakConnection()
        run(transaction, number = 3)

        expectThat(lastRefusal()).isEqualTo(ErrorKind.TRANSACTION_ENDED)
        expectThat(harness.answers).hasSize(3)
        expectThat(returned()).isEmpty()
    }

    // Guards against a commit that ran and is reported as ended, or is run a second time.
    @Test
    fun `a connection lost at the commit is resolved by the identifier of the commit`() {
        val transaction = begin()
        commit(transaction, number = 2)
        harness.breakConnection()
        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>().get { identifier.value }.isEqualTo("request-2")

        harness.answer(done(at(11)))
        harness.reachDurability()
        expectThat(harness.answers.last()).isA<CallerAnswer.Completed>()
    }

    // Guards against a caller that repeats a commit and is told that the committed transaction was not run.
    @Test
    fun `a commit that is repeated after the transaction ended is answered from its record`() {
        val transaction = begin()
        commit(transaction, number = 2)
        harness.answer(done(at(11)))
        harness.reachDurability()
        harness.confirmLeadership()
        commit(transaction, number = 2)

        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>()
    }

    // Guards against a transaction that goes on at a replaced primary, whose commit cannot become durable.
    @Test
    fun `a new term ends idle and running transactions and resolves a commit under way`() {
        val idle = begin(number = 1)
        val running = begin(number = 2)
        val committing = begin(number = 3)
        run(running, number = 4)
        commit(committing, number = 5)
        harness.replacePrimary(Fixture.REPLICA, term = 2)
        run(idle, number = 6)

        expectThat(harness.answers.drop(3).map { (it as CallerAnswer.Refused).kind })
            .containsExactly(ErrorKind.TRANSACTION_ENDED, ErrorKind.TRANSACTION_ENDED)
        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>()
        expectThat(returned()).hasSize(3).get { distinct() }.containsExactly(ConnectionCondition.DOUBTFUL)
    }

    // Guards against an abandoned transaction that holds its connection and locks.
    @Test
    fun `a transaction ends after its idle time and after its life`() {
        begin(number = 1)
        harness.pass(millis = 5_000)
        expectThat(returned()).containsExactly(ConnectionCondition.DOUBTFUL)

        val transaction = begin(number = 2)
        for (number in 3..10L) {
            harness.pass(millis = 4_000)
            run(transaction, number)
            if (harness.state.requests.pending.isNotEmpty()) harness.answer(done(at(10)))
        }
        expectThat(lastRefusal()).isEqualTo(ErrorKind.TRANSACTION_ENDED)
    }

    // Guards against a statement that hangs and keeps the transaction, its connection and its caller waiting.
    @Test
    fun `a statement that exceeds its deadline ends the transaction`() {
        val transaction = begin()
        harness.arrive(RequestBody.TransactionStatements(transaction, write().statements), number = 2, deadline = 100)
        harness.pass(millis = 100)

        expectThat(lastRefusal()).isEqualTo(ErrorKind.TRANSACTION_ENDED)
        expectThat(returned()).containsExactly(ConnectionCondition.DOUBTFUL)
    }

    // Guards against a proxy that refuses a transaction because another proxy holds it.
    @Test
    fun `a request of a transaction is forwarded to the proxy that holds it`() {
        val owner = Fixture.node(port = 2)
        val transaction = TransactionIdentifier(owner, number = 1, random = 2).toString()
        harness.views.live += owner
        run(transaction, number = 1)
        commit(transaction, number = 2)
        expectThat(harness.forwards).hasSize(2)

        harness.handle(Event.PeerUnreachable(owner))
        expectThat(harness.refusals).containsExactly(ErrorKind.OUTCOME_UNKNOWN)
        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>()
    }

    // Guards against a forged identifier that fails the proxy or reaches another caller's transaction.
    @Test
    fun `an invalid transaction identifier is refused`() {
        run("no identifier", number = 1)
        run(TransactionIdentifier(harness.self, number = 99, random = 2).toString(), number = 2)

        expectThat(harness.refusals).containsExactly(ErrorKind.TRANSACTION_UNKNOWN, ErrorKind.TRANSACTION_UNKNOWN)
    }

    // Guards against a transaction that stays open because its caller left before it got the identifier.
    @Test
    fun `a transaction whose caller is gone before it began is closed`() {
        harness.arrive(RequestBody.BeginTransaction)
        harness.handle(Event.CallerDisconnected(ArrivalNumber(1)))
        harness.answer(SessionAnswer.Done(status(), position = at(10)))

        expectThat(harness.answers).isEmpty()
        expectThat(returned()).containsExactly(ConnectionCondition.DOUBTFUL)
    }

    // Guards against a transaction of a forwarded request that only the forwarding proxy could use.
    @Test
    fun `a transaction that a peer's caller opened names this proxy`() {
        val message = PeerMessage.ForwardedRequest(ARRIVAL, hops = 1, harness.request(RequestBody.BeginTransaction))
        harness.handle(Event.PeerMessageReceived(Fixture.node(port = 2), message))
        harness.answer(SessionAnswer.Done(status(), position = at(10)))

        val answer = harness.sent<PeerMessage.ForwardedAnswer>().single().answer as CallerAnswer.Completed
        expectThat(TransactionIdentifier.parse(answer.transaction.orEmpty())?.owner).isEqualTo(harness.self)
    }

    private fun begin(number: Long = 1): String {
        harness.arrive(RequestBody.BeginTransaction, number)
        harness.answer(SessionAnswer.Done(status(), position = at(10)))
        return checkNotNull((harness.answers.last() as CallerAnswer.Completed).transaction)
    }

    private fun run(transaction: String, number: Long) =
        harness.arrive(RequestBody.TransactionStatements(transaction, write().statements), number)

    private fun commit(transaction: String, number: Long) =
        harness.arrive(RequestBody.CommitTransaction(transaction, Fixture.WALL_CLOCK), number)

    private fun lastRefusal() = (harness.answers.last() as CallerAnswer.Refused).kind

    private fun returned() = harness.signalled<Signal.ConnectionReturned>().map { it.condition }

    private companion object {
        val ARRIVAL = ArrivalNumber(5)
    }
}
