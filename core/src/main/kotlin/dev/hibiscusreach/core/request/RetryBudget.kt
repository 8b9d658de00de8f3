package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.reducer.RequestSettings

/**
 * Token bucket that keeps the retries of a database to a share of its requests, so that retries cannot multiply the
 * load on a database that is failing.
 */
data class RetryBudget(
    /** Hundredths of a retry that are left. */
    val hundredths: Int,
) {
    /** The budget after one more request. */
    fun credited(settings: RequestSettings): RetryBudget =
        RetryBudget(minOf(hundredths + settings.retryBudgetPercent, settings.retryBudgetBurst * RETRY_COST))

    /** The budget after one more retry, or null if it does not allow one. */
    fun spent(): RetryBudget? = if (hundredths >= RETRY_COST) RetryBudget(hundredths - RETRY_COST) else null

    companion object {
        private const val RETRY_COST = 100

        /** The budget of a database that has had no retries yet. */
        fun full(settings: RequestSettings): RetryBudget = RetryBudget(settings.retryBudgetBurst * RETRY_COST)
    }
}
