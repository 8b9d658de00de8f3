package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime

/** A numbered request for permits from a permit home. */
data class PermitRequest(val sequence: Long, val count: Int, val requestedAt: MonotonicTime)

/** The permits of one caller that this process has borrowed, and the requests for them. */
data class PermitLease(
    val inUse: Int = 0,
    /** Maximum number of permits in use at once since the last request. */
    val peak: Int = 0,
    val granted: Int = 0,
    val validUntil: MonotonicTime? = null,
    /** Duration of the lease that ends at [validUntil]. */
    val duration: Millis = Millis(0),
    /** The last request, while it is unanswered. */
    val pending: PermitRequest? = null,
    val lastRequest: PermitRequest? = null,
) {
    /** Number of permits that can be acquired now; below 0 if more are in use than are valid. */
    fun available(now: MonotonicTime): Int = (if (isValid(now)) granted else 0) - inUse

    /** Whether to request [needed] permits, if not granted: at once if above the last request, else after [retry]. */
    fun shouldRequest(needed: Int, now: MonotonicTime, retry: Millis): Boolean {
        val isShort = needed > (if (isValid(now)) granted else 0)
        val isRequestDue = lastRequest == null || needed > lastRequest.count || now - lastRequest.requestedAt >= retry
        return isShort && isRequestDue
    }

    /** Whether to renew the lease, because less than half of it is left. */
    fun isRenewalDue(now: MonotonicTime, retry: Millis): Boolean =
        validUntil != null &&
            granted > 0 &&
            validUntil - now < Millis(duration.value / 2) &&
            (lastRequest == null || now - lastRequest.requestedAt >= retry)

    /** Whether no permit is in use, valid or requested. */
    fun isUnused(now: MonotonicTime): Boolean =
        inUse == 0 && pending == null && (validUntil == null || now >= validUntil)

    /** This lease with one more permit in use. */
    fun acquire(): PermitLease = copy(inUse = inUse + 1, peak = maxOf(peak, inUse + 1))

    /** This lease with one permit less in use. */
    fun release(): PermitLease = copy(inUse = inUse - 1)

    /** The lease granted for [request]. It runs from the time of the request, so that a pause cannot extend it. */
    fun withGrant(request: PermitRequest, count: Int, duration: Millis): PermitLease =
        copy(granted = count, validUntil = request.requestedAt + duration, duration = duration, pending = null)

    /** This lease after sending [request]. Permits beyond those requested again are given up at once. */
    fun withRequest(request: PermitRequest): PermitLease =
        copy(granted = minOf(granted, request.count), pending = request, lastRequest = request, peak = inUse)

    private fun isValid(now: MonotonicTime): Boolean = validUntil != null && now < validUntil
}
