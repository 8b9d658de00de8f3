package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.Outcome
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RetryAdvice
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.StatementResult
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Header names of caller requests. */
object CallerHeaders {
    /** Name of the caller that sends the request. */
    const val CALLER: String = "Hibiscusreach-Caller"

    /** The signed session token of an earlier answer. */
    const val SESSION: String = "Hibiscusreach-Session"

    /** The caller's identifier of the request. */
    const val REQUEST_ID: String = "Hibiscusreach-Request-Id"
}

/** Declares whether the statements of a request only read or may change data. */
@Serializable
enum class AccessField {
    @SerialName("read")
    READ,

    @SerialName("write")
    WRITE,
}

/** Body of a request to run statements as one transaction. */
@Serializable
data class StatementsBody(
    val statements: List<Statement>,
    val access: AccessField,
    val repeatable: Boolean = false,
    val createdAtMillis: Long? = null,
    val deadlineMillis: Long? = null,
    val maximumAgeMillis: Long? = null,
)

/** Body of a request to run statements in an open transaction. */
@Serializable
data class TransactionStatementsBody(val statements: List<Statement>, val deadlineMillis: Long? = null)

/** Body of a request to begin, commit or roll back a transaction. */
@Serializable
data class TransactionBody(val createdAtMillis: Long? = null, val deadlineMillis: Long? = null)

/** Body of a success response. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class SuccessBody(
    val requestId: String,
    val ran: Outcome,
    val session: String,
    @EncodeDefault val results: List<StatementResult> = emptyList(),
    val server: ServerName? = null,
    val position: Position? = null,
    val transaction: String? = null,
    @EncodeDefault val replayed: Boolean = false,
    val ageMillis: Long? = null,
)

/** Body of an error response. */
@Serializable
data class FailureBody(
    val requestId: String?,
    val error: ErrorDetail,
    val ran: Outcome,
    val retry: RetryAdvice,
    val retryAfterMillis: Long? = null,
)

/** Machine-readable kind and human-readable message of an error. */
@Serializable
data class ErrorDetail(val kind: String, val message: String)
