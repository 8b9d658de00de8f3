package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The reply to one statement of a caller. */
@Serializable
sealed interface SessionReply {
    /** Transaction state of the session after the statement. */
    val status: TransactionStatus

    /** The statement was carried out. */
    @Serializable
    @SerialName("completed")
    data class Completed(
        val rows: List<String> = emptyList(),
        /** The server's proof; null if the proxy answered without a server. */
        val proof: String? = null,
        override val status: TransactionStatus,
        val position: Position? = null,
    ) : SessionReply

    /** The proxy refused the statement. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val kind: ErrorKind,
        val message: String,
        override val status: TransactionStatus,
        /** Delay after which the caller may retry; null if there is no advice. */
        val retryAfter: Millis? = null,
    ) : SessionReply

    /** The server reported a failure, which is passed on unchanged. */
    @Serializable
    @SerialName("serverFailed")
    data class ServerFailed(
        val code: String,
        val message: String,
        override val status: TransactionStatus,
        val position: Position?,
    ) : SessionReply
}
