package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RequestIdentifier

/** A value and the position of the entry that wrote it. */
internal data class StoredValue(val value: String, val position: Position)

/** The log of one server and the state that follows from it. */
internal class DatabaseContents(limits: RecordLimits) {
    val log = ReplicatedLog()
    private val values = HashMap<String, StoredValue>()
    private val records = RequestRecords(limits)

    /** The value of [key], or null if it does not exist. */
    fun value(key: String): StoredValue? = values[key]

    /** The record of [identifier] at [now]. */
    fun record(identifier: RequestIdentifier, now: Long): StoredRecord? = records.find(identifier, now)

    /** Appends [entry] to the log and applies it. */
    fun append(entry: LogEntry) {
        log.append(entry)
        apply(entry)
    }

    /** Takes over [entry] of a primary. A different entry at its index is removed together with all that follow. */
    fun accept(entry: LogEntry) {
        if (log.holds(entry.position)) return
        if (log.contradicts(entry.position)) {
            log.truncateFrom(entry.position.index)
            rebuild()
        }
        append(entry)
    }

    private fun rebuild() {
        values.clear()
        records.clear()
        log.all().forEach(::apply)
    }

    private fun apply(entry: LogEntry) {
        for (change in entry.changes) {
            if (change.value == null) {
                values.remove(change.key)
            } else {
                values[change.key] = StoredValue(change.value, entry.position)
            }
        }
        records.store(entry)
    }
}
