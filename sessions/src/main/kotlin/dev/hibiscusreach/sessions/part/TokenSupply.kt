package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.allowance.AllowanceLimits
import dev.hibiscusreach.sessions.allowance.OperationToken
import dev.hibiscusreach.sessions.allowance.TenantTokens
import dev.hibiscusreach.sessions.allowance.TokenRequests
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.tenant.Allowance
import dev.hibiscusreach.sessions.tenant.TenantName

/** The tokens that this proxy has for its callers: those that owners granted, and those of the guaranteed minimum. */
internal object TokenSupply {
    /** A token that is there already, or one of the minimum; null if there is none. */
    fun take(reduction: Reduction, tenant: TenantName, allowance: Allowance): OperationToken? {
        val taken = reduction.state.allowances.tenants[tenant]?.takeToken(reduction.now)
        return if (taken == null) {
            takeMinimum(reduction, tenant, allowance)
        } else {
            put(reduction, tenant, taken.second)
            taken.first
        }
    }

    /** Starts the waiting operations of [tenant] in order, as far as there are tokens. */
    fun startWaiting(reduction: Reduction, tenant: TenantName, allowance: Allowance) {
        var first = reduction.state.allowances.tenants[tenant]?.firstWaiting
        var token = if (first == null) null else take(reduction, tenant, allowance)
        while (first != null && token != null) {
            OperationAllowances.leave(reduction, first, tenant)
            if (!OperationAllowances.start(reduction, first, tenant, token)) {
                val expiresAt = token.expiresAt
                update(reduction, tenant) { it.withTokens(1, expiresAt) }
            }
            first = reduction.state.allowances.tenants[tenant]?.firstWaiting
            token = if (first == null) null else take(reduction, tenant, allowance)
        }
    }

    /** Starts all waiting operations of [tenant], whose limit was removed. */
    fun startUnlimited(reduction: Reduction, tenant: TenantName) {
        val token = OperationToken(reduction.now)
        for (number in reduction.state.allowances.tenants[tenant]?.allWaiting.orEmpty()) {
            OperationAllowances.leave(reduction, number, tenant)
            OperationAllowances.start(reduction, number, tenant, token)
        }
    }

    /** Lets the guaranteed minimum apply to [tenant] if no owner is reached. */
    fun reviewMinimum(reduction: Reduction, tenant: TenantName, allowance: Allowance) {
        val tokens = reduction.state.allowances.tenants[tenant] ?: return
        if (tokens.onMinimum || !requests(reduction, tenant).isUnreached(tokens)) return
        put(reduction, tenant, tokens.copy(onMinimum = true))
        reduction.log("allowance minimum entered", "tenant" to tenant, level = LogLevel.WARN)
        startWaiting(reduction, tenant, allowance)
    }

    /** When the operation behind [ahead] others is expected to get a token; null if it may get one soon. */
    fun expectedAt(reduction: Reduction, tenant: TenantName, ahead: Int): MonotonicTime? =
        reduction.state.allowances.tenants[tenant]?.let { requests(reduction, tenant).expectedAt(it, ahead) }

    /** The decisions about requests for tokens of [tenant] at this time. */
    fun requests(reduction: Reduction, tenant: TenantName): TokenRequests =
        TokenRequests(
            reduction.settings.tenants,
            AllowanceOwnership.owners(reduction, tenant),
            reduction.now,
            reduction.state.allowances.silent,
        )

    /** Replaces what is known of the tokens of [tenant], if anything is. */
    fun update(reduction: Reduction, tenant: TenantName, change: (TenantTokens) -> TenantTokens) {
        reduction.state.allowances.tenants[tenant]?.let { put(reduction, tenant, change(it)) }
    }

    /** Stores the tokens of [tenant]. */
    fun put(reduction: Reduction, tenant: TenantName, tokens: TenantTokens) {
        val state = reduction.state.allowances
        val waiting = if (tokens.waitingCount == 0) state.waiting.remove(tenant) else state.waiting.add(tenant)
        val next = state.copy(tenants = state.tenants.put(tenant, tokens), waiting = waiting)
        reduction.state = reduction.state.copy(allowances = next)
    }

    private fun takeMinimum(reduction: Reduction, tenant: TenantName, allowance: Allowance): OperationToken? {
        val settings = reduction.settings.tenants
        val budget = AllowanceLimits.of(allowance, settings).minimum
        val self = reduction.state.self.peerEndpoint
        val share = reduction.state.allowances.ownership?.registered?.share(tenant, self, budget) ?: 0
        val tokens = reduction.state.allowances.tenants[tenant]?.takeIf { it.onMinimum }
        val period = settings.allowanceWindow + settings.tokenLife
        val used = tokens?.useMinimum(reduction.now, period, share) ?: return null
        put(reduction, tenant, used)
        reduction.count(SessionCounter.ALLOWANCE_TOKENS, "minimum")
        // The operation counts for the minimum from now on. It may start until the token expires, so no more than the
        // share is taken in a window and the life of a token.
        return OperationToken(reduction.now + settings.tokenLife)
    }
}
