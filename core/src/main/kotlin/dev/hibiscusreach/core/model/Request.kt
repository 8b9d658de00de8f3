package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** One statement in the query language of the database; the proxy does not parse it. */
@Serializable
data class Statement(val text: String, val parameters: List<String> = emptyList())

/** Rows returned and number of rows changed by a statement. */
@Serializable
data class StatementResult(val rows: List<List<String>> = emptyList(), val changedRows: Int = 0)

/** Whether a request may change data. */
@Serializable
enum class Access { READ, WRITE }

/** Syntactically valid content of a caller's request. */
@Serializable
sealed interface RequestBody {
    /** Statements that run as one transaction. */
    @Serializable
    data class Statements(
        val statements: List<Statement>,
        val access: Access,
        /** Whether the request is safe to run more than once. */
        val repeatable: Boolean = false,
        /** Creation time by the caller's clock, in milliseconds since the epoch. Required unless [repeatable]. */
        val createdAtMillis: Long? = null,
        /** Maximum staleness of the read, if lower than that of the caller's rule. */
        val maximumAgeMillis: Long? = null,
    ) : RequestBody

    /** Opens an interactive transaction at the primary. */
    @Serializable
    data object BeginTransaction : RequestBody

    /** Runs statements in an open interactive transaction. */
    @Serializable
    data class TransactionStatements(val transaction: String, val statements: List<Statement>) : RequestBody

    /** Commits an interactive transaction, with the request's identifier as the idempotency key. */
    @Serializable
    data class CommitTransaction(val transaction: String, val createdAtMillis: Long) : RequestBody

    /** Rolls an interactive transaction back. */
    @Serializable
    data class RollbackTransaction(val transaction: String) : RequestBody

    /** Asks whether the request with the given identifier ran; if it did not, prevents it from ever running. */
    @Serializable
    data class ResolveOutcome(val requestIdentifier: RequestIdentifier) : RequestBody
}

/** A caller's request. */
@Serializable
data class CallerRequest(
    val identifier: RequestIdentifier,
    val caller: CallerName,
    val database: DatabaseName,
    val session: SessionToken,
    /** Time limit for the answer, counted from the request's arrival at the proxy. */
    val deadline: Millis,
    val body: RequestBody,
)

/** The answer to a [CallerRequest]. */
@Serializable
sealed interface CallerAnswer {
    /** The request ran; contains its complete results. */
    @Serializable
    data class Completed(
        val results: List<StatementResult>,
        val session: SessionToken,
        val server: ServerName? = null,
        val position: Position? = null,
        /** Identifier of the transaction that was opened. */
        val transaction: String? = null,
        /** Whether the results come from the idempotency record of an earlier execution. */
        val replayed: Boolean = false,
        /** Upper bound of the staleness of the data that was read. */
        val ageMillis: Long? = null,
    ) : CallerAnswer

    /** The request was refused; [kind] says whether it ran. */
    @Serializable
    data class Refused(
        val kind: ErrorKind,
        val message: String,
        val retryAfterMillis: Long? = null,
    ) : CallerAnswer
}
