package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position

/** What a caller gets for one statement. */
sealed interface SessionReply {
    /** Transaction state of the session after the statement. */
    val status: TransactionStatus

    /** The statement was carried out. */
    data class Completed(
        val rows: List<String> = emptyList(),
        /** The server's proof; null if the proxy answered by itself. */
        val proof: String? = null,
        override val status: TransactionStatus,
        val position: Position? = null,
    ) : SessionReply

    /** The proxy refused the statement. */
    data class Refused(
        val kind: ErrorKind,
        val message: String,
        override val status: TransactionStatus,
        /** When the caller may try again; null if there is no advice. */
        val retryAfter: Millis? = null,
    ) : SessionReply

    /** The server's own failure, passed on. */
    data class ServerFailed(
        val code: String,
        val message: String,
        override val status: TransactionStatus,
        val position: Position?,
    ) : SessionReply
}
