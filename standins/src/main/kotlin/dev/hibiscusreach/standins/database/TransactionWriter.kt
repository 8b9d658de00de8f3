package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.StatementResult

/** Writes transactions together with their idempotency records, at a primary. */
internal class TransactionWriter(
    private val contents: DatabaseContents,
    private val terms: TermState,
    private val status: (Long) -> ServerStatus,
) {
    /** Writes the changes of [transaction] and the record of [key] as one entry. */
    fun write(
        transaction: Transaction,
        key: IdempotencyKey?,
        results: List<StatementResult>,
        now: Long,
    ): SessionAnswer {
        val record = key?.let { RequestRecord(it.identifier, it.fingerprint, results) }
        val position = contents.log.next(terms.term)
        contents.append(LogEntry(position, now, transaction.changes, record))
        return SessionAnswer.Done(status(now), results, position)
    }

    /** The answer from the record of [key], or null if there is none. */
    fun earlierAnswer(key: IdempotencyKey, now: Long): SessionAnswer? {
        val stored = contents.record(key.identifier, now) ?: return null
        val reused = !stored.record.isCancellation && stored.record.fingerprint != key.fingerprint
        return if (reused) SessionAnswer.IdentifierReused(status(now)) else recorded(stored, now)
    }

    /** The answer from the record of [identifier]; writes a cancellation record if there is none. */
    fun resolve(identifier: RequestIdentifier, now: Long): SessionAnswer =
        contents.record(identifier, now)?.let { recorded(it, now) } ?: cancel(identifier, now)

    private fun cancel(identifier: RequestIdentifier, now: Long): SessionAnswer {
        val position = contents.log.next(terms.term)
        contents.append(LogEntry(position, now, record = RequestRecord(identifier, fingerprint = null)))
        return SessionAnswer.Cancelled(status(now), position)
    }

    private fun recorded(stored: StoredRecord, now: Long): SessionAnswer =
        if (stored.record.isCancellation) {
            SessionAnswer.Cancelled(status(now), stored.position)
        } else {
            SessionAnswer.Done(status(now), stored.record.results, stored.position, replayed = true)
        }
}
