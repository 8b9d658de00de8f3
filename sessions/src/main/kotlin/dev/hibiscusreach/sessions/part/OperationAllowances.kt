package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.allowance.OperationToken
import dev.hibiscusreach.sessions.allowance.TenantTokens
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction
import dev.hibiscusreach.sessions.tenant.Allowance
import dev.hibiscusreach.sessions.tenant.TenantName

/**
 * Lets an operation of a tenant start once it has a token of the tenant's allowance. The proxy of the caller takes the
 * token, before the operation's first statement leaves it or goes to a server.
 */
internal object OperationAllowances {
    /**
     * [session] with the token for its [pending] statement, or unchanged if none is needed; null if the statement waits
     * for a token or was refused.
     */
    fun admit(reduction: Reduction, session: Session, pending: PendingStatement): Session? {
        val tenant = pending.tenant?.takeIf { needsToken(session, pending) }
        val allowance = allowanceOf(reduction, tenant)
        return if (tenant == null || allowance == null) {
            session
        } else {
            takeOrWait(reduction, session, pending, tenant, allowance)
        }
    }

    /** The allowance of [tenant] by the configuration in force; null if it has none. */
    fun allowanceOf(reduction: Reduction, tenant: TenantName?): Allowance? =
        tenant?.let { reduction.state.configuration?.tenants?.tenants?.get(it)?.allowance }

    /** Starts the statement of [number], which has waited, with [token]; false if it waits no longer. */
    fun start(reduction: Reduction, number: SessionNumber, tenant: TenantName, token: OperationToken): Boolean {
        val session = reduction.session(number)
        val pending = session?.pending?.takeIf { isWaiting(it, tenant) }
        if (session == null || pending == null) return false
        val admitted = pending.copy(phase = Phase.Waiting(), token = token)
        StatementDispatch.requeue(reduction, session.copy(pending = admitted), admitted)
        return true
    }

    /** Whether [pending] waits for a token of [tenant]. */
    fun isWaiting(pending: PendingStatement, tenant: TenantName): Boolean =
        pending.phase is Phase.AwaitingAllowance && pending.tenant == tenant

    /** Gives back the token of a statement that is refused, or whose session ends, before anything was sent. */
    fun release(reduction: Reduction, session: Session) {
        val pending = session.pending
        val tenant = pending?.tenant ?: return
        if (pending.phase is Phase.AwaitingAllowance) leave(reduction, session.number, tenant)
        val isUnsent = pending.attempts == 0 && pending.phase is Phase.Waiting
        val token = pending.token?.takeIf { isUnsent && it.expiresAt > reduction.now }
        if (token != null) TokenSupply.update(reduction, tenant) { it.withTokens(1, token.expiresAt) }
    }

    /** Removes a session from those that wait for a token of [tenant]. */
    fun leave(reduction: Reduction, number: SessionNumber, tenant: TenantName) =
        TokenSupply.update(reduction, tenant) { it.without(number) }

    private fun takeOrWait(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        tenant: TenantName,
        allowance: Allowance,
    ): Session? {
        val tokens = countDemand(reduction, tenant)
        val token = if (tokens.waitingCount == 0) TokenSupply.take(reduction, tenant, allowance) else null
        if (token != null) {
            TokenExchange.probe(reduction, tenant, allowance)
            return session.copy(pending = pending.copy(token = token)).also { reduction.put(it) }
        }
        reduction.put(session.copy(pending = pending.copy(phase = Phase.AwaitingAllowance)))
        TokenSupply.update(reduction, tenant) { it.copy(waiting = it.waiting.add(session.number)) }
        TokenExchange.advance(reduction, tenant, allowance)
        AllowanceRefusals.refuseIfHopeless(reduction, session.number, tenant, tokens.waitingCount)
        return null
    }

    private fun needsToken(session: Session, pending: PendingStatement): Boolean {
        val starts = session.transaction is Transaction.None || session.transaction is Transaction.Begun
        return starts && !session.isForwarded && pending.token == null
    }

    private fun countDemand(reduction: Reduction, tenant: TenantName): TenantTokens {
        val now = reduction.now
        val known = reduction.state.allowances.tenants[tenant] ?: TenantTokens(usedAt = now)
        val tokens = known.withoutExpired(now).copy(usedAt = now, demand = known.demand.plus(1, now))
        TokenSupply.put(reduction, tenant, tokens)
        return tokens
    }
}
