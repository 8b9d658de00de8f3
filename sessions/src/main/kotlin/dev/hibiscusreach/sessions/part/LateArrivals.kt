package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.Session

/**
 * Refuses what arrives in the last part of a drain. A session that sends one statement after the other is never closed
 * as idle, and the exit would cut off the answer to its last statement.
 */
internal object LateArrivals {
    /** Reason for refusals and ended transactions during a drain. */
    const val STOPPING: String = "the proxy is stopping"

    private val REFUSAL = SessionReply.Refused(ErrorKind.DRAINING, STOPPING, TransactionStatus.NONE)

    /** Whether a statement that arrives now might not be answered before the exit. */
    fun isRefusing(reduction: Reduction): Boolean {
        val since = reduction.state.stoppingSince ?: return false
        return reduction.now - since >= reduction.settings.drain.refuseAfter
    }

    /** Refuses a statement of a session without a transaction as not run, and closes the session. */
    fun refuseStatement(reduction: Reduction, session: Session, identifier: String) {
        SessionReplies.answerLocally(reduction, session, identifier, REFUSAL)
        SessionDraining.close(reduction, session)
    }

    /** Refuses a statement that its caller had sent before it learned that its session is closed. */
    fun refuseOfClosedSession(reduction: Reduction, event: SessionEvent.StatementArrived) {
        SessionReplies.answerClosed(reduction, event.session, event.identifier, REFUSAL)
    }

    /** The session without its open transaction, which is ended: another statement of it might not be answered. */
    fun withoutTransaction(reduction: Reduction, session: Session): Session {
        if (session.transaction.status != TransactionStatus.OPEN) return session
        StatementDeadlines.endTransaction(reduction, session, STOPPING)
        return reduction.session(session.number) ?: session
    }
}
