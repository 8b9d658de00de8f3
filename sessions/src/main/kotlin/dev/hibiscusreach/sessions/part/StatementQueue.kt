package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import kotlinx.collections.immutable.persistentListOf

/** Puts statements into the queues of the groups, and refuses those that cannot be served in time. */
internal object StatementQueue {
    /**
     * Whether a statement that arrives goes through the queue, although a connection may be available. With tenants, it
     * could take one that has become free for a statement that waits.
     */
    fun isNeeded(reduction: Reduction, session: Session, pending: PendingStatement): Boolean =
        TenantPools.apply(reduction) &&
            reduction.state.waiting[pending.route.group].orEmpty().any { it != session.number } &&
            !StatementForwarding.isNeeded(reduction, session, pending)

    /** Queues a statement that is served in its turn at the end of the event, and admitted or refused after that. */
    fun addBeforeAdmission(reduction: Reduction, session: Session, pending: PendingStatement) {
        add(reduction, session, pending)
        reduction.servable += pending.route.group
        reduction.unadmitted += session.number
    }

    /** Queues a statement for which no connection is available, or refuses it if it cannot be served in time. */
    fun addOrRefuse(reduction: Reduction, session: Session, pending: PendingStatement) {
        if (!refuseIfHopeless(reduction, session, pending)) add(reduction, session, pending)
    }

    /** Refuses the statements that were queued before admission, still wait, and cannot be served in time. */
    fun admit(reduction: Reduction) {
        for (number in reduction.unadmitted) {
            val session = reduction.session(number)
            val pending = session?.pending?.takeIf { it.phase is Phase.Waiting }
            if (pending != null && number in reduction.state.waiting[pending.route.group].orEmpty()) {
                refuseIfHopeless(reduction, session, pending)
            }
        }
        reduction.unadmitted.clear()
    }

    private fun refuseIfHopeless(reduction: Reduction, session: Session, pending: PendingStatement): Boolean {
        val reason = AdmissionControl.refusalReason(reduction, session, pending) ?: return false
        val isOverload = reason.first == ErrorKind.OVERLOADED
        if (isOverload && TenantPools.apply(reduction)) reduction.count(SessionCounter.WAITS, "refused-at-once")
        StatementFailures.refuse(reduction, session, pending, reason.first, reason.second)
        return true
    }

    private fun add(reduction: Reduction, session: Session, pending: PendingStatement) {
        val group = pending.route.group
        val queue = reduction.state.waiting[group] ?: persistentListOf()
        if (session.number !in queue) {
            val waiting = reduction.state.waiting.put(group, queue.add(session.number))
            reduction.state = reduction.state.copy(waiting = waiting)
        }
    }
}
