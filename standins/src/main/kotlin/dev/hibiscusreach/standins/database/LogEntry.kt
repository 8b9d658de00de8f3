package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.StatementResult
import kotlinx.serialization.Serializable

/** The new value of a key; null deletes it. */
@Serializable
data class KeyChange(val key: String, val value: String?)

/** An idempotency record, or a cancellation record if [fingerprint] is null. */
@Serializable
data class RequestRecord(
    val identifier: RequestIdentifier,
    val fingerprint: String?,
    val results: List<StatementResult> = emptyList(),
) {
    /** Whether the request never ran and never will. */
    val isCancellation: Boolean get() = fingerprint == null
}

/** One entry of the replicated log: all effects of a transaction, together with its record. */
@Serializable
data class LogEntry(
    val position: Position,
    /** Time at the primary that wrote the entry. Ages of records are counted from it on every server. */
    val writtenAtMillis: Long,
    val changes: List<KeyChange> = emptyList(),
    val record: RequestRecord? = null,
)
