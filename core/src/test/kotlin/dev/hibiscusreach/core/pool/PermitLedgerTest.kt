package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PermitLedgerTest {
    private val first = node(port = 1)
    private val second = node(port = 2)
    private val start = MonotonicTime(1_000)
    private val lifetime = Millis(3_500)
    private val ledger = PermitLedger(lendingStartsAt = start)

    // Guards against two borrowers that together hold more than the caller's limit.
    @Test
    fun `no more than the capacity is lent`() {
        val (lent, granted) = ledger.lend(first, request(sequence = 1, count = 3), capacity = 4, lifetime)
        val (_, rest) = lent.lend(second, request(sequence = 1, count = 3), capacity = 4, lifetime)

        expectThat(granted).isEqualTo(3)
        expectThat(rest).isEqualTo(1)
    }

    // Guards against permits that are lent again while a paused borrower may still use them.
    @Test
    fun `a loan counts until it expires and not after`() {
        val (lent, _) = ledger.lend(first, request(sequence = 1, count = 4), capacity = 4, lifetime)

        expectThat(lent.lentToOthers(second, start + lifetime - Millis(1))).isEqualTo(4)
        expectThat(lent.lentToOthers(second, start + lifetime)).isEqualTo(0)
    }

    // Guards against lending permits, after a limit was lowered, that a borrower still uses under an earlier loan.
    @Test
    fun `a borrower that is granted less keeps its earlier loan until it expires`() {
        val (lent, _) = ledger.lend(first, request(sequence = 1, count = 4), capacity = 4, lifetime)
        val (lowered, granted) = lent.lend(first, request(sequence = 2, count = 4), capacity = 2, lifetime)

        expectThat(granted).isEqualTo(2)
        expectThat(lowered.lentToOthers(second, start)).isEqualTo(4)
    }

    // Guards against an earlier request that is delivered late and lowers the count of the borrower's later loan.
    @Test
    fun `an earlier request that arrives late is granted nothing and changes nothing`() {
        val (lent, _) = ledger.lend(first, request(sequence = 2, count = 3), capacity = 4, lifetime)
        val (unchanged, granted) = lent.lend(first, request(sequence = 1, count = 1), capacity = 4, lifetime)

        expectThat(granted).isEqualTo(0)
        expectThat(unchanged).isEqualTo(lent)
    }

    // Guards against a successor that lends permits which its predecessor has already lent.
    @Test
    fun `a successor counts the loans that its predecessor reported`() {
        val (lent, _) = ledger.lend(first, request(sequence = 1, count = 3), capacity = 4, lifetime)
        val successor =
            PermitLedger(lendingStartsAt = start)
                .importLoans(lent.activeLoans(start), lendingDelay = Millis(0), start)

        expectThat(successor.lend(second, request(sequence = 1, count = 4), capacity = 4, lifetime).second).isEqualTo(1)
    }

    private fun request(sequence: Long, count: Int) = PermitRequest(sequence, count, requestedAt = start)

    private fun node(port: Int) = NodeIdentity(Endpoint("10.0.0.1", port), startedAtMillis = 0, nonce = 0)
}
