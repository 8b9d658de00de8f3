package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.ForwardedOperation
import dev.hibiscusreach.sessions.model.ForwardedScope
import dev.hibiscusreach.sessions.model.ForwardedStatement
import dev.hibiscusreach.sessions.model.ForwardedTenant
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction
import dev.hibiscusreach.sessions.tenant.TenantName

/** Builds the messages that forward statements to homes. */
internal object ForwardedMessages {
    /** The message for the pending statement of [session]. */
    fun message(reduction: Reduction, session: Session, pending: PendingStatement): ForwardedStatement =
        ForwardedStatement(
            identifier = pending.identifier,
            operation = operation(session, pending),
            route = pending.route,
            values = session.values,
            lastCommit = session.lastCommit?.takeIf { it.group == pending.route.group }?.position,
            scope = scope(session.transaction),
            waited = reduction.now - pending.arrivedAt,
            configurationVersion = reduction.state.configuration?.version,
            tenant = pending.tenant?.let { tenant(reduction, it) },
            tokenRemaining = ExpiredTokens.remaining(reduction, session, pending),
        )

    // A tenant that the configuration has no longer keeps its open transactions.
    private fun tenant(reduction: Reduction, name: TenantName): ForwardedTenant =
        ForwardedTenant(name, reduction.state.configuration?.tenants?.tenants?.get(name)?.keysDigest ?: 0)

    private fun operation(session: Session, pending: PendingStatement): ForwardedOperation =
        when (val statement = pending.statement) {
            is CallerStatement.Run -> ForwardedOperation.Run(statement.access, statement.text)
            is CallerStatement.Execute ->
                ForwardedOperation.Execute(session.prepared.getValue(statement.name), statement.arguments)
            else -> ForwardedOperation.Commit
        }

    private fun scope(transaction: Transaction): ForwardedScope =
        when (transaction) {
            is Transaction.Begun -> if (transaction.readOnly) ForwardedScope.BEGIN_READ else ForwardedScope.BEGIN
            is Transaction.Remote -> ForwardedScope.RUNNING
            else -> ForwardedScope.SINGLE
        }
}
