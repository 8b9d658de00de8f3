package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.Route
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.SessionProxyState
import dev.hibiscusreach.sessions.state.Transaction
import dev.hibiscusreach.sessions.tenant.TenantName

/**
 * The kinds of statements for which no connection was found in the current state. Under overload, looking for one for
 * each of the waiting statements of a tenant at each event would take most of the processor's time.
 */
internal class UnservedKinds(private val reduction: Reduction) {
    private val kinds = HashSet<Kind>()
    private var state: SessionProxyState = reduction.state

    /** Whether no connection was found for a statement of the same kind, and nothing has changed since. */
    fun contains(session: Session, pending: PendingStatement): Boolean {
        if (state !== reduction.state) kinds.clear()
        state = reduction.state
        return kind(session, pending) in kinds
    }

    /** Records that no connection was found for a statement, unless the attempt has begun to open one. */
    fun add(session: Session, pending: PendingStatement) {
        if (state === reduction.state) kinds += kind(session, pending)
    }

    // A paused statement stands for itself only, because its pause may be all that keeps it from being served. So does
    // one of this proxy's callers, which may be forwarded.
    private fun kind(session: Session, pending: PendingStatement) =
        Kind(
            pending.tenant,
            pending.access,
            ServerSelection.needsPrimary(session, pending),
            session.transaction is Transaction.Begun,
            PrimaryStatus.minimumPosition(reduction, session, pending) != null,
            IdleReplacement.isImpatient(reduction, pending),
            ExpiredTokens.isExpired(reduction, session, pending),
            pending.route,
            pending.excluded,
            session.number.takeIf { (pending.phase as? Phase.Waiting)?.notBefore != null || !session.isForwarded },
        )

    private data class Kind(
        val tenant: TenantName?,
        val access: Access,
        val needsPrimary: Boolean,
        val begins: Boolean,
        /** Whether replicas can run it. */
        val hasPosition: Boolean,
        val isImpatient: Boolean,
        val isExpired: Boolean,
        val route: Route,
        val excluded: Set<ServerName>,
        /** The session of a statement that stands for itself only. */
        val session: SessionNumber?,
    )
}
