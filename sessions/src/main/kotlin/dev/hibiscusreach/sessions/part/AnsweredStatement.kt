package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** A caller's statement together with the server's answer to it. */
internal class AnsweredStatement(
    val connection: ServerConnection,
    val session: Session,
    val pending: PendingStatement,
    val answer: ServerAnswer,
) {
    /** The transaction that the statement belongs to; null if it stands alone. */
    val running: Transaction.Running? get() = session.running

    /** Whether the statement ends a transaction. */
    val commits: Boolean get() = pending.commits
}
