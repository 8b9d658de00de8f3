package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Refuses statements whose text was not kept. */
internal object DroppedStatements {
    /** Refuses a statement as not run, which promises that nothing is kept: an open transaction is rolled back. */
    fun refuse(reduction: Reduction, session: Session, identifier: String, statement: CallerStatement.Dropped) {
        val isOpen = session.transaction.status == TransactionStatus.OPEN
        if (isOpen) StatementDeadlines.endTransaction(reduction, session, statement.reason)
        val transaction = if (isOpen) Transaction.Failed else session.transaction
        val next = session.copy(transaction = transaction, idleSince = reduction.now)
        reduction.put(next)
        val refusal = SessionReplies.refusal(reduction, next, ErrorKind.OVERLOADED, statement.reason)
        SessionReplies.answerLocally(reduction, next, identifier, refusal)
    }
}
