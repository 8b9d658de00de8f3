package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime

/** A request for permits that was not answered yet. */
data class PendingPermits(val sequence: Long, val count: Int, val askedAt: MonotonicTime)

/** The permits of one caller that this process has borrowed. */
data class PermitAccount(
    val inUse: Int = 0,
    /** The most permits in use since the last request. */
    val peak: Int = 0,
    val granted: Int = 0,
    val validUntil: MonotonicTime? = null,
    /** Length of the lease that [validUntil] ends. */
    val lease: Millis = Millis(0),
    val pending: PendingPermits? = null,
    val lastAsked: PendingPermits? = null,
) {
    /** Permits that can be taken now. */
    fun free(now: MonotonicTime): Int = (if (isValid(now)) granted else 0) - inUse

    /** Whether [needed] permits should be asked for now: at once if they are more than before, else after [retry]. */
    fun shouldAsk(needed: Int, now: MonotonicTime, retry: Millis): Boolean {
        val isShort = needed > (if (isValid(now)) granted else 0)
        val isNews = lastAsked == null || needed > lastAsked.count || now - lastAsked.askedAt >= retry
        return isShort && isNews
    }

    /** Whether the lease should be asked for again, because half of it is over. */
    fun isRenewalDue(now: MonotonicTime, retry: Millis): Boolean =
        validUntil != null &&
            granted > 0 &&
            validUntil - now < Millis(lease.value / 2) &&
            (lastAsked == null || now - lastAsked.askedAt >= retry)

    /** Whether nothing is used, valid or asked for. */
    fun isUnused(now: MonotonicTime): Boolean =
        inUse == 0 && pending == null && (validUntil == null || now >= validUntil)

    /** One more permit in use. */
    fun taken(): PermitAccount = copy(inUse = inUse + 1, peak = maxOf(peak, inUse + 1))

    /** One permit less in use. */
    fun returned(): PermitAccount = copy(inUse = inUse - 1)

    /** The lease that [answered] asked for, counted from the request so that a pause cannot extend it. */
    fun granted(answered: PendingPermits, count: Int, lease: Millis): PermitAccount =
        copy(granted = count, validUntil = answered.askedAt + lease, lease = lease, pending = null)

    /** A request is on its way. What is not asked for again is given up at once. */
    fun asking(request: PendingPermits): PermitAccount =
        copy(granted = minOf(granted, request.count), pending = request, lastAsked = request, peak = inUse)

    private fun isValid(now: MonotonicTime): Boolean = validUntil != null && now < validUntil
}
