package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position

/** The reply to one statement of a caller. */
sealed interface SessionReply {
    /** Transaction state of the session after the statement. */
    val status: TransactionStatus

    /** The statement was carried out. */
    data class Completed(
        val rows: List<String> = emptyList(),
        /** The server's proof; null if the proxy answered without a server. */
        val proof: String? = null,
        override val status: TransactionStatus,
        val position: Position? = null,
    ) : SessionReply

    /** The proxy refused the statement. */
    data class Refused(
        val kind: ErrorKind,
        val message: String,
        override val status: TransactionStatus,
        /** Delay after which the caller may retry; null if there is no advice. */
        val retryAfter: Millis? = null,
    ) : SessionReply

    /** The server reported a failure, which is passed on unchanged. */
    data class ServerFailed(
        val code: String,
        val message: String,
        override val status: TransactionStatus,
        val position: Position?,
    ) : SessionReply
}
