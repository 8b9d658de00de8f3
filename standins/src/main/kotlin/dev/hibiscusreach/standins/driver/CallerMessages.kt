package dev.hibiscusreach.standins.driver

import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.StatementResult
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonPrimitive

/** Body of a statements request. */
@Serializable
internal data class StatementsBody(
    val statements: List<Statement>,
    val access: String,
    val repeatable: Boolean? = null,
    val createdAtMillis: Long? = null,
    val deadlineMillis: Long? = null,
    val maximumAgeMillis: Long? = null,
)

/** Body of a request for statements of an open transaction. */
@Serializable
internal data class TransactionStatementsBody(val statements: List<Statement>)

/** Body of a commit. */
@Serializable
internal data class CommitBody(val createdAtMillis: Long)

/** Body of every answer; an answer with an [error] is a refusal. */
@Serializable
internal data class AnswerBody(
    val requestId: String? = null,
    val ran: JsonPrimitive? = null,
    val session: String? = null,
    val results: List<StatementResult> = emptyList(),
    val server: String? = null,
    val transaction: String? = null,
    val replayed: Boolean = false,
    val error: ErrorBody? = null,
    val retry: String? = null,
    val retryAfterMillis: Long? = null,
)

/** Kind and explanation of a refusal. */
@Serializable
internal data class ErrorBody(val kind: String, val message: String = "")
