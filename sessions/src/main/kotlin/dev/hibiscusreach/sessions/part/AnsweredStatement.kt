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
    /** The transaction to which the statement belongs; null outside of a transaction. */
    val running: Transaction.Running? get() = session.running

    /** Whether the statement commits its transaction. */
    val commits: Boolean get() = pending.commits
}
