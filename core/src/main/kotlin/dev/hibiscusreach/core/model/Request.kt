package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** One statement in the language of the database, opaque to the proxy. */
@Serializable
data class Statement(val text: String, val parameters: List<String> = emptyList())

/** What a statement returned. */
@Serializable
data class StatementResult(val rows: List<List<String>> = emptyList(), val changedRows: Int = 0)

/** Whether a request may change data. */
@Serializable
enum class Access { READ, WRITE }

/** What a caller asks for, already checked for form. */
@Serializable
sealed interface RequestBody {
    /** Statements that run as one transaction. */
    @Serializable
    data class Statements(
        val statements: List<Statement>,
        val access: Access,
        /** Whether running the request twice does no harm. */
        val repeatable: Boolean = false,
        /** Creation time by the caller's clock, in milliseconds since the epoch. Required unless [repeatable]. */
        val createdAtMillis: Long? = null,
        /** Tightens the age that the caller's rule accepts. */
        val maximumAgeMillis: Long? = null,
    ) : RequestBody

    /** Opens an interactive transaction at the primary. */
    @Serializable
    data object BeginTransaction : RequestBody

    /** Runs statements in an open interactive transaction. */
    @Serializable
    data class TransactionStatements(val transaction: String, val statements: List<Statement>) : RequestBody

    /** Commits an interactive transaction under the request's identifier. */
    @Serializable
    data class CommitTransaction(val transaction: String, val createdAtMillis: Long) : RequestBody

    /** Rolls an interactive transaction back. */
    @Serializable
    data class RollbackTransaction(val transaction: String) : RequestBody

    /** Asks whether the request with the given identifier ran, and makes sure that it never will if it did not. */
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
    /** Time that the caller gives for an answer, counted from arrival. */
    val deadline: Millis,
    val body: RequestBody,
)

/** The answer to a [CallerRequest]. */
@Serializable
sealed interface CallerAnswer {
    /** The request ran and these are its whole results. */
    @Serializable
    data class Completed(
        val results: List<StatementResult>,
        val session: SessionToken,
        val server: ServerName? = null,
        val position: Position? = null,
        /** Identifier of the transaction that was opened. */
        val transaction: String? = null,
        /** Whether the answer comes from the idempotency record of an earlier run. */
        val replayed: Boolean = false,
        /** Upper bound of the age of the data that was read. */
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
