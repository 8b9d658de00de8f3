package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.PermitLoan
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Permits lent to one process, as counted by the lender. */
data class Loan(val sequence: Long, val count: Int, val expiresAt: MonotonicTime)

/** A failure domain's permits of one caller, recorded by the domain's permit home. */
data class PermitLedger(
    /** Permits of the domain's own share are not lent before this time; an earlier home may have lent them. */
    val lendingStartsAt: MonotonicTime,
    val loans: PersistentMap<NodeIdentity, List<Loan>> = persistentMapOf(),
    /** Permits that this home has borrowed from the homes of other failure domains. */
    val borrowed: PersistentMap<FailureDomainName, PermitLease> = persistentMapOf(),
) {
    /** Number of permits lent to processes other than [borrower]. */
    fun lentToOthers(borrower: NodeIdentity?, now: MonotonicTime): Int =
        loans.entries.filter { it.key != borrower }.sumOf { activeCount(it.value, now) }

    /** Number of permits borrowed from other failure domains that are valid now. */
    fun availableBorrowed(now: MonotonicTime): Int = borrowed.values.sumOf { maxOf(0, it.available(now)) }

    /** The earliest expiry of the valid borrowed permits, or null if none are valid. */
    fun borrowedUntil(now: MonotonicTime): MonotonicTime? =
        borrowed.values.filter { it.available(now) > 0 }.mapNotNull { it.validUntil }.minOrNull()

    /**
     * Lends up to the count of [request] out of [capacity], in place of the borrower's earlier loan. A request that
     * arrives after a later one of the same borrower is granted nothing.
     */
    fun lend(
        borrower: NodeIdentity,
        request: PermitRequest,
        capacity: Int,
        lifetime: Millis,
    ): Pair<PermitLedger, Int> {
        val now = request.requestedAt
        val earlier = loans[borrower].orEmpty().filter { now < it.expiresAt }
        if (earlier.any { it.sequence >= request.sequence }) return this to 0
        val granted = minOf(request.count, maxOf(0, capacity - lentToOthers(borrower, now)))
        // The borrower gave up permits that it did not request again, but may use the rest of an earlier loan until it
        // expires.
        val kept = earlier.map { it.copy(count = minOf(it.count, request.count)) }.filter { it.count > granted }
        val loan = Loan(request.sequence, granted, now + lifetime)
        return copy(loans = loans.put(borrower, kept + loan)) to granted
    }

    /** The loans that have not expired, as reported to a successor. */
    fun activeLoans(now: MonotonicTime): List<PermitLoan> =
        loans.entries.flatMap { (borrower, list) ->
            list
                .filter { now < it.expiresAt }
                .map { PermitLoan(borrower, it.sequence, it.count, (it.expiresAt - now).value) }
        }

    /** This ledger with the loans of an earlier home added. Lends its own share after [lendingDelay]. */
    fun importLoans(delivered: List<PermitLoan>, lendingDelay: Millis, now: MonotonicTime): PermitLedger {
        val imported =
            delivered.fold(loans) { result, loan ->
                val entry = Loan(loan.sequence, loan.count, now + Millis(loan.remainingMillis))
                result.put(loan.borrower, result[loan.borrower].orEmpty() + entry)
            }
        return copy(loans = imported, lendingStartsAt = now + lendingDelay)
    }

    /** This ledger without loans that have expired. */
    fun withoutExpiredLoans(now: MonotonicTime): PermitLedger {
        val active =
            loans.entries.fold(loans) { result, (borrower, list) ->
                val valid = list.filter { now < it.expiresAt }
                if (valid.isEmpty()) result.remove(borrower) else result.put(borrower, valid)
            }
        return copy(loans = active)
    }

    private fun activeCount(list: List<Loan>, now: MonotonicTime): Int =
        list.filter { now < it.expiresAt }.maxOfOrNull { it.count } ?: 0
}
