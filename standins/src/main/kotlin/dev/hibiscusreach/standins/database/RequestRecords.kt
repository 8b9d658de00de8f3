package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RequestIdentifier

/** A record with the position of the entry that wrote it. */
internal data class StoredRecord(val record: RequestRecord, val position: Position, val writtenAtMillis: Long)

/** The idempotency and cancellation records of a database, bounded by age and number. */
internal class RequestRecords(private val limits: RecordLimits) {
    private val records = LinkedHashMap<RequestIdentifier, StoredRecord>()

    /** The record of [identifier], unless it is too old at [now]. */
    fun find(identifier: RequestIdentifier, now: Long): StoredRecord? =
        records[identifier]?.takeIf { now - it.writtenAtMillis <= limits.retentionMillis }

    /** Stores the record of [entry], if it has one, and evicts the records that exceed the limits. */
    fun store(entry: LogEntry) {
        val record = entry.record ?: return
        records.remove(record.identifier)
        records[record.identifier] = StoredRecord(record, entry.position, entry.writtenAtMillis)
        evict(entry.writtenAtMillis)
    }

    /** Removes all records. */
    fun clear() = records.clear()

    private fun evict(now: Long) {
        val oldest = records.values.iterator()
        var excess = records.size - limits.maximumRecords
        while (oldest.hasNext()) {
            val expired = now - oldest.next().writtenAtMillis > limits.retentionMillis
            if (!expired && excess <= 0) break
            oldest.remove()
            excess--
        }
    }
}

/** How long and how many records a database keeps. */
data class RecordLimits(
    val retentionMillis: Long = RETENTION_MILLIS,
    val maximumRecords: Int = MAXIMUM_RECORDS,
) {
    private companion object {
        const val RETENTION_MILLIS = 24L * 60 * 60 * 1_000
        const val MAXIMUM_RECORDS = 100_000
    }
}
