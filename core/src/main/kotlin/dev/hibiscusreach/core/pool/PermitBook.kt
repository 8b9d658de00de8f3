package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.PermitLoan
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Permits lent to one process, as the lender counts them. */
data class Loan(val sequence: Long, val count: Int, val expiresAt: MonotonicTime)

/** The permits of one caller that belong to a failure domain, kept by the domain's permit home. */
data class PermitBook(
    /** Nothing of the domain's own share is lent before this time, because an earlier home may have lent it. */
    val quietUntil: MonotonicTime,
    val loans: PersistentMap<NodeIdentity, List<Loan>> = persistentMapOf(),
    /** What this home has borrowed from the homes of other failure domains. */
    val borrowed: PersistentMap<FailureDomainName, PermitAccount> = persistentMapOf(),
) {
    /** Permits that are lent, without those of [borrower]. */
    fun lentToOthers(borrower: NodeIdentity?, now: MonotonicTime): Int =
        loans.entries.filter { it.key != borrower }.sumOf { effective(it.value, now) }

    /** Permits borrowed from other failure domains that are valid now. */
    fun borrowedNow(now: MonotonicTime): Int = borrowed.values.sumOf { maxOf(0, it.free(now)) }

    /** The time until which all borrowed permits are valid, or null if none are. */
    fun borrowedUntil(now: MonotonicTime): MonotonicTime? =
        borrowed.values.filter { it.free(now) > 0 }.mapNotNull { it.validUntil }.minOrNull()

    /** Lends up to the count of [request] out of [capacity]; replaces the borrower's earlier loan. */
    fun lend(
        borrower: NodeIdentity,
        request: PendingPermits,
        capacity: Int,
        lifetime: Millis,
    ): Pair<PermitBook, Int> {
        val now = request.askedAt
        val earlier = loans[borrower].orEmpty().filter { now < it.expiresAt }
        if (earlier.any { it.sequence >= request.sequence }) return this to 0
        val granted = minOf(request.count, maxOf(0, capacity - lentToOthers(borrower, now)))
        // The borrower gave up what it did not ask for again, but may use the rest of an earlier loan until it expires.
        val kept = earlier.map { it.copy(count = minOf(it.count, request.count)) }.filter { it.count > granted }
        val loan = Loan(request.sequence, granted, now + lifetime)
        return copy(loans = loans.put(borrower, kept + loan)) to granted
    }

    /** The loans that have not expired, as told to a successor. */
    fun openLoans(now: MonotonicTime): List<PermitLoan> =
        loans.entries.flatMap { (borrower, list) ->
            list
                .filter { now < it.expiresAt }
                .map { PermitLoan(borrower, it.sequence, it.count, (it.expiresAt - now).value) }
        }

    /** This book with the loans that an earlier home had granted, free to lend after [quiet]. */
    fun adopt(delivered: List<PermitLoan>, quiet: Millis, now: MonotonicTime): PermitBook {
        val adopted =
            delivered.fold(loans) { known, loan ->
                val entry = Loan(loan.sequence, loan.count, now + Millis(loan.remainingMillis))
                known.put(loan.borrower, known[loan.borrower].orEmpty() + entry)
            }
        return copy(loans = adopted, quietUntil = now + quiet)
    }

    /** This book without loans that have expired. */
    fun pruned(now: MonotonicTime): PermitBook {
        val open =
            loans.entries.fold(loans) { known, (borrower, list) ->
                val valid = list.filter { now < it.expiresAt }
                if (valid.isEmpty()) known.remove(borrower) else known.put(borrower, valid)
            }
        return copy(loans = open)
    }

    private fun effective(list: List<Loan>, now: MonotonicTime): Int =
        list.filter { now < it.expiresAt }.maxOfOrNull { it.count } ?: 0
}
