package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.allowance.TenantTokens
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction
import dev.hibiscusreach.sessions.tenant.Allowance
import dev.hibiscusreach.sessions.tenant.TenantName

/** Replaces tokens that have expired before the first message for their operation was sent to a server. */
internal object ExpiredTokens {
    /**
     * Whether the [pending] statement may be sent to a home, or to a server on [connection], if need be with another
     * token. The peer that forwarded the statement takes the other token itself. For each connection, one statement at
     * a time does so; otherwise all statements with expired tokens would take others for the same connection, and most
     * of these would expire again.
     */
    fun renew(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection? = null,
    ): TokenRenewal {
        val tenant = pending.tenant
        val allowance = OperationAllowances.allowanceOf(reduction, tenant)
        val reserved = connection?.let { freeForRenewal(reduction, it) }
        return when {
            !isExpired(reduction, session, pending) -> TokenRenewal.Ready(session)
            connection != null && reserved == null -> TokenRenewal.Postponed
            session.isForwarded -> {
                reserve(reduction, reserved)
                ForwardedArrivals.tokenExpired(reduction, session, pending)
                TokenRenewal.Awaited
            }
            tenant == null || allowance == null -> TokenRenewal.Ready(session)
            else -> {
                val renewed = replaceToken(reduction, session, pending, tenant, allowance)
                if (renewed == null) reserve(reduction, reserved)
                renewed?.let { TokenRenewal.Ready(it) } ?: TokenRenewal.Awaited
            }
        }
    }

    /** Time for which the first message of [pending] may be sent; null if that is not limited. */
    fun remaining(reduction: Reduction, session: Session, pending: PendingStatement): Millis? =
        pending.token
            ?.takeIf { startsOperation(session, pending) }
            ?.takeIf { OperationAllowances.allowanceOf(reduction, pending.tenant) != null }
            ?.let { maxOf(Millis(0), it.expiresAt - reduction.now) }

    /** Whether the token of [pending] has expired before the statement was sent to a server. */
    fun isExpired(reduction: Reduction, session: Session, pending: PendingStatement): Boolean {
        val token = pending.token ?: session.forwardedToken
        return token != null && startsOperation(session, pending) && token.expiresAt <= reduction.now
    }

    // A connection for which no other statement is taking a token. The answer of an owner takes no longer than the
    // patience with one, after which the statement uses the connection.
    private fun freeForRenewal(reduction: Reduction, connection: ServerConnection): ServerConnection? =
        ConnectionPools
            .connections(reduction, connection.server)
            .filter { it.idle && it.tenant == connection.tenant }
            .find { idle ->
                val renewedAt = idle.renewedAt
                renewedAt == null || reduction.now - renewedAt >= reduction.settings.tenants.ownerPatience
            }

    private fun reserve(reduction: Reduction, connection: ServerConnection?) {
        if (connection != null) ConnectionPools.put(reduction, connection.copy(renewedAt = reduction.now))
    }

    private fun startsOperation(session: Session, pending: PendingStatement): Boolean {
        val starts = session.transaction is Transaction.None || session.transaction is Transaction.Begun
        return starts && !pending.reachedServer
    }

    // The token is requested at the next review, together with those of other statements whose tokens have expired
    // while all of them waited for the same primary.
    private fun replaceToken(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        tenant: TenantName,
        allowance: Allowance,
    ): Session? {
        reduction.count(SessionCounter.ALLOWANCE_TOKENS, "replaced")
        val known = reduction.state.allowances.tenants[tenant] ?: TenantTokens(usedAt = reduction.now)
        TokenSupply.put(reduction, tenant, known.withoutExpired(reduction.now).copy(usedAt = reduction.now))
        val token = if (known.renewing.isEmpty()) TokenSupply.take(reduction, tenant, allowance) else null
        val next = pending.copy(token = token ?: pending.token)
        if (token != null) return session.copy(pending = next).also { reduction.put(it) }
        reduction.dequeue(pending.route.group, session.number)
        reduction.put(session.copy(pending = next.copy(phase = Phase.AwaitingAllowance)))
        TokenSupply.update(reduction, tenant) { it.copy(renewing = it.renewing.add(session.number)) }
        return null
    }
}
