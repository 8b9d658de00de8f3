package dev.hibiscusreach.sessions.allowance

import dev.hibiscusreach.sessions.state.TenantSettings
import dev.hibiscusreach.sessions.tenant.Allowance
import kotlin.math.floor

/**
 * What one owner may grant of an allowance. The operations of any window are at most what all owners refill in the
 * window and the life of a token, their capacities, and the guaranteed minimum of both sides of a partition. The refill
 * rate and the capacity are chosen so that this sum stays within the permitted number. The bucket of a new owner is
 * empty, so the sum does not grow when owners are replaced.
 */
data class AllowanceLimits(
    /** Tokens that the bucket of an owner gains per second. */
    val refillPerSecond: Double,
    /** The most tokens that the bucket of an owner holds. */
    val capacity: Double,
    /** Operations in a window that all proxies together may start without reaching an owner. */
    val minimum: Int,
) {
    companion object {
        /**
         * Owners of each tenant, or the number of proxies if that is smaller. One for each failure domain of the
         * largest deployment: with three, a third of the partitions that cut off 6 of 19 proxies left none of them
         * there. The number does not depend on the limit, since proxies with different versions of the configuration
         * would then grant up to half more than by either of them.
         */
        const val OWNERS: Int = 6

        /** Share of the rate and the burst that the minimum is. */
        private const val MINIMUM_SHARE = 0.1

        /**
         * Operations in a window that the minimum is at least, so that small tenants can be served. With the usual
         * tolerance, the owners can then still refill at the full rate of every small tenant.
         */
        private const val LEAST_MINIMUM = 3.0

        /** [LEAST_MINIMUM] applies up to the tolerated excess divided by this. */
        private const val LEAST_MINIMUM_DIVISOR = 3.0

        /** The share of the rate and the burst applies up to the tolerated excess divided by this. */
        private const val MINIMUM_DIVISOR = 4.0

        /** Tokens per second that small tenants gain at least; the bucket of a new owner has a token after 6 s. */
        private const val LEAST_REFILL = 1.0

        /** Proxies with different views of the fleet, as on the sides of a partition, each distribute the minimum. */
        private const val VIEWS = 2.0

        private const val MILLIS_PER_SECOND = 1_000.0

        /** The limits of each of [owners] owners of [allowance]. */
        fun of(
            allowance: Allowance,
            settings: TenantSettings,
            owners: Int = OWNERS,
        ): AllowanceLimits {
            val window = settings.allowanceWindow.value / MILLIS_PER_SECOND
            val life = settings.tokenLife.value / MILLIS_PER_SECOND
            val regular = allowance.ratePerSecond * window + allowance.burst
            val excess = regular * settings.allowanceTolerance + settings.allowanceSlack
            // The minimum grows with the permitted number, so proxies with different versions of the configuration
            // together use no more than what the larger limit leaves for the minimum.
            val share = minOf(MINIMUM_SHARE * regular, excess / MINIMUM_DIVISOR)
            val minimum = floor(maxOf(share, minOf(LEAST_MINIMUM, excess / LEAST_MINIMUM_DIVISOR)))
            val capacity = maxOf(1.0, allowance.burst / OWNERS)
            val available = regular + excess - OWNERS * capacity - VIEWS * minimum
            val refill = (available / (window + life)).coerceIn(0.0, maxOf(allowance.ratePerSecond, LEAST_REFILL))
            val spare = maxOf(0.0, available - refill * (window + life))
            return AllowanceLimits(refill / owners, (OWNERS * capacity + spare) / owners, minimum.toInt())
        }
    }
}
