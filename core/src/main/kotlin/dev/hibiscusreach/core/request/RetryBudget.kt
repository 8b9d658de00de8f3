package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.reducer.RequestSettings

/**
 * Token bucket that limits the retries on a database to a share of its requests, so that retries do not multiply the
 * load on a failing database.
 */
data class RetryBudget(
    /** Tokens left; a retry costs 100 of them. */
    val hundredths: Int,
) {
    /** Returns the budget after one more request, at most the full budget. */
    fun credited(settings: RequestSettings): RetryBudget =
        RetryBudget(minOf(hundredths + settings.retryBudgetPercent, settings.retryBudgetBurst * RETRY_COST))

    /** Returns the budget after one more retry, or null if it does not cover one. */
    fun spent(): RetryBudget? = if (hundredths >= RETRY_COST) RetryBudget(hundredths - RETRY_COST) else null

    companion object {
        private const val RETRY_COST = 100

        /** Returns the budget of a database that has had no retries yet. */
        fun full(settings: RequestSettings): RetryBudget = RetryBudget(settings.retryBudgetBurst * RETRY_COST)
    }
}
