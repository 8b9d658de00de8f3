package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
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

    // Guards against sending the statements of a transaction on different connections.
    @Test
    fun `a transaction keeps its connection until its commit is durable`() {
        val transaction = harness.beginTransaction()
        run(transaction, number = 2)
        harness.answer(done(at(10)))
        commit(transaction, number = 3)
        harness.answer(done(at(11)))
        expectThat(harness.answers).hasSize(2)
        harness.confirmDurability()

        expectThat(harness.answers.last()).isA<CallerAnswer.Completed>().get { position }.isEqualTo(at(11))
        expectThat(harness.commands.map { it.connection }.distinct()).hasSize(1)
        expectThat(returnedConditions()).containsExactly(ConnectionCondition.CLEAN)
        expectThat(harness.state.requests.transactions.toMap()).isEmpty()
    }

    // Guards against mixed-up answers of concurrent requests of a transaction, and against its use by another caller.
    @Test
    fun `a transaction accepts one request at a time and only from its caller`() {
        val transaction = harness.beginTransaction()
        run(transaction, number = 2)
        run(transaction, number = 3)
        commit(transaction, number = 4)
        harness.sendRequest(RequestBody.RollbackTransaction(transaction), number = 5, caller = Fixture.OFFICE)

        expectThat(harness.answers.drop(1).map { (it as CallerAnswer.Refused).kind })
            .containsExactly(ErrorKind.CONFLICT, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TRANSACTION_UNKNOWN)
    }

    // Guards against continuing a transaction without the statements that its lost connection had run.
    @Test
    fun `a connection lost before the commit ends the transaction as not run`() {
        val transaction = harness.beginTransaction()
        run(transaction, number = 2)
        harness.breakConnection()
        run(transaction, number = 3)

        expectThat(lastRefusal()).isEqualTo(ErrorKind.TRANSACTION_ENDED)
        expectThat(harness.answers).hasSize(3)
        expectThat(returnedConditions()).isEmpty()
    }

    // Guards against a commit that ran and is reported as ended or runs a second time.
    @Test
    fun `a commit whose connection is lost is resolved by its request identifier`() {
        val transaction = harness.beginTransaction()
        commit(transaction, number = 2)
        harness.breakConnection()
        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>().get { identifier.value }.isEqualTo("request-2")

        harness.answer(done(at(11)))
        harness.confirmDurability()
        expectThat(harness.answers.last()).isA<CallerAnswer.Completed>()
    }

    // Guards against a caller that repeats a commit and is told that the committed transaction was not run.
    @Test
    fun `a commit that is repeated after the transaction ended is answered from its record`() {
        val transaction = harness.beginTransaction()
        commit(transaction, number = 2)
        harness.answer(done(at(11)))
        harness.confirmDurability()
        commit(transaction, number = 2)

        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>()
    }

    // Guards against continuing a transaction at a replaced primary, where its commit cannot become durable.
    @Test
    fun `a new term ends idle and running transactions and resolves a commit in flight`() {
        val idle = harness.beginTransaction(number = 1)
        val running = harness.beginTransaction(number = 2)
        val committing = harness.beginTransaction(number = 3)
        run(running, number = 4)
        commit(committing, number = 5)
        harness.replacePrimary(Fixture.REPLICA, term = 2)
        run(idle, number = 6)

        expectThat(harness.answers.drop(3).map { (it as CallerAnswer.Refused).kind })
            .containsExactly(ErrorKind.TRANSACTION_ENDED, ErrorKind.TRANSACTION_ENDED)
        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>()
        expectThat(returnedConditions()).hasSize(3).get { distinct() }.containsExactly(ConnectionCondition.DOUBTFUL)
    }

    // Guards against an abandoned transaction that keeps its connection and locks.
    @Test
    fun `a transaction ends at its idle limit and at its lifetime limit`() {
        harness.beginTransaction(number = 1)
        harness.advanceTime(millis = 5_000)
        expectThat(returnedConditions()).containsExactly(ConnectionCondition.DOUBTFUL)

        val transaction = harness.beginTransaction(number = 2)
        for (number in 3..10L) {
            harness.advanceTime(millis = 4_000)
            run(transaction, number)
            if (harness.state.requests.pending.isNotEmpty()) harness.answer(done(at(10)))
        }
        expectThat(lastRefusal()).isEqualTo(ErrorKind.TRANSACTION_ENDED)
    }

    // Guards against a hanging statement that blocks the transaction, its connection and its caller.
    @Test
    fun `a statement that exceeds its deadline ends the transaction`() {
        val transaction = harness.beginTransaction()
        harness.sendRequest(
            RequestBody.TransactionStatements(transaction, write().statements),
            number = 2,
            deadline = 100,
        )
        harness.advanceTime(millis = 100)

        expectThat(lastRefusal()).isEqualTo(ErrorKind.TRANSACTION_ENDED)
        expectThat(returnedConditions()).containsExactly(ConnectionCondition.DOUBTFUL)
    }

    // Guards against a proxy that refuses a transaction because another proxy holds it.
    @Test
    fun `a request of a transaction is forwarded to the proxy that holds it`() {
        val owner = Fixture.node(port = 2)
        val transaction = TransactionIdentifier(owner, number = 1, random = 2).toString()
        harness.views.liveNodes += owner
        run(transaction, number = 1)
        commit(transaction, number = 2)
        expectThat(harness.forwards).hasSize(2)

        harness.handle(Event.PeerUnreachable(owner))
        expectThat(harness.refusals).containsExactly(ErrorKind.OUTCOME_UNKNOWN)
        expectThat(harness.lastCommand).isA<SessionCommand.Resolve>()
    }

    // Guards against a forged identifier that makes the proxy fail or accesses another caller's transaction.
    @Test
    fun `an invalid transaction identifier is refused`() {
        run("no identifier", number = 1)
        run(TransactionIdentifier(harness.self, number = 99, random = 2).toString(), number = 2)

        expectThat(harness.refusals).containsExactly(ErrorKind.TRANSACTION_UNKNOWN, ErrorKind.TRANSACTION_UNKNOWN)
    }

    // Guards against a transaction that stays open because its caller disconnected before it got the identifier.
    @Test
    fun `a transaction whose caller disconnects before it begins is ended`() {
        harness.sendRequest(RequestBody.BeginTransaction)
        harness.handle(Event.CallerDisconnected(ArrivalNumber(1)))
        harness.answer(done(at(10)))

        expectThat(harness.answers).isEmpty()
        expectThat(returnedConditions()).containsExactly(ConnectionCondition.DOUBTFUL)
    }

    // Guards against a transaction identifier that names the forwarding proxy instead of the one with the connection.
    @Test
    fun `the identifier of a transaction that a peer's caller opened names this proxy`() {
        val request = harness.request(RequestBody.BeginTransaction)
        val message = PeerMessage.ForwardedRequest(ArrivalNumber(5), hops = 1, request)
        harness.handle(Event.PeerMessageReceived(Fixture.node(port = 2), message))
        harness.answer(done(at(10)))

        val answer = harness.sent<PeerMessage.ForwardedAnswer>().single().answer as CallerAnswer.Completed
        expectThat(TransactionIdentifier.parse(answer.transaction.orEmpty())?.owner).isEqualTo(harness.self)
    }

    private fun run(transaction: String, number: Long) =
        harness.sendRequest(RequestBody.TransactionStatements(transaction, write().statements), number)

    private fun commit(transaction: String, number: Long) =
        harness.sendRequest(RequestBody.CommitTransaction(transaction, Fixture.WALL_CLOCK), number)

    private fun lastRefusal() = (harness.answers.last() as CallerAnswer.Refused).kind

    private fun returnedConditions() = harness.signalled<Signal.ConnectionReturned>().map { it.condition }
}
