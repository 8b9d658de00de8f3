package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.tenant.TenantName

/** Refuses operations that get no token in time, as soon as that is known. */
internal object AllowanceRefusals {
    /** Refuses a statement whose time to wait for a token has passed, or follows a change of its route or tenant. */
    fun checkWaiting(reduction: Reduction, session: Session, pending: PendingStatement) {
        val tenant = pending.tenant ?: return
        if (ConfigurationAgreement.isOutdated(reduction, session, pending)) {
            OperationAllowances.leave(reduction, session.number, tenant)
            ConfigurationAgreement.reroute(reduction, session, pending.copy(phase = Phase.Waiting()))
        } else if (reduction.now >= deadline(reduction, pending)) {
            refuse(reduction, session, pending, "no operation of the tenant's allowance became free in time")
        }
    }

    /** Refuses the statements of [tenant] whose tokens are expected later than they may wait. */
    fun refuseHopeless(reduction: Reduction, tenant: TenantName) {
        var ahead = 0
        for (number in reduction.state.allowances.tenants[tenant]?.allWaiting.orEmpty()) {
            refuseIfHopeless(reduction, number, tenant, ahead)
            val pending = reduction.session(number)?.pending
            if (pending != null && OperationAllowances.isWaiting(pending, tenant)) ahead++
        }
    }

    /** Refuses the statement of [number], which waits behind [ahead] others, if its token is expected too late. */
    fun refuseIfHopeless(reduction: Reduction, number: SessionNumber, tenant: TenantName, ahead: Int) {
        val session = reduction.session(number)
        val pending = session?.pending?.takeIf { OperationAllowances.isWaiting(it, tenant) } ?: return
        val expectedAt = TokenSupply.expectedAt(reduction, tenant, ahead)
        if (expectedAt != null && expectedAt > deadline(reduction, pending)) {
            val reason = if (isOnMinimum(reduction, tenant)) "no owner is reached" else "it is used up"
            refuse(reduction, session, pending, "the tenant's allowance is not available: $reason")
        }
    }

    // A share of the latency objective, as a refusal after a long wait without an attempt is the worst for a caller. A
    // statement that had a token may have waited for longer than that, so it may wait until its timeout.
    private fun deadline(reduction: Reduction, pending: PendingStatement): MonotonicTime {
        val route = pending.route
        val share = route.latencyObjective.value * reduction.settings.statements.maxWaitPercent / FULL_PERCENT
        val timeout = route.statementTimeout.value
        val limit = if (pending.token == null) minOf(share, timeout) else timeout
        return pending.arrivedAt + Millis(limit)
    }

    private fun refuse(reduction: Reduction, session: Session, pending: PendingStatement, message: String) {
        val tenant = pending.tenant ?: return
        reduction.count(
            SessionCounter.ALLOWANCE_REFUSALS,
            if (isOnMinimum(reduction, tenant)) "no-owner" else "used-up",
        )
        val retryAfter = retryAdvice(reduction, session.number, tenant)
        StatementFailures.refuse(reduction, session, pending) {
            SessionReplies
                .refusal(reduction, it, ErrorKind.CALLER_LIMIT_REACHED, message)
                .copy(retryAfter = retryAfter)
        }
    }

    // Callers that are refused at the same time are told different times, so that they do not return together.
    private fun retryAdvice(reduction: Reduction, session: SessionNumber, tenant: TenantName): Millis {
        val longest = reduction.settings.tenants.maxTokenWait.value
        val shortest = minOf(reduction.settings.statements.overloadRetryAfter.value, longest)
        val expectedAt = TokenSupply.expectedAt(reduction, tenant, ahead = 0) ?: reduction.now
        val wait = (expectedAt - reduction.now).value.coerceIn(shortest, longest)
        return RetrySpread.after(reduction, session, Millis(wait))
    }

    private fun isOnMinimum(reduction: Reduction, tenant: TenantName): Boolean =
        reduction.state.allowances.tenants[tenant]?.onMinimum ?: false
}
