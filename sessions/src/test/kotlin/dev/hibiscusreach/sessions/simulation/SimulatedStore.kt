package dev.hibiscusreach.sessions.simulation

import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.StoredRecord

/** The platform's store with the fleet's records. It can be restored to an earlier time. */
internal class SimulatedStore {
    private class Copy(val at: Long, val records: Map<FleetKey, StoredRecord>, val number: Long)

    private val copies = ArrayDeque<Copy>()
    private var number = 0L
    var records = emptyMap<FleetKey, StoredRecord>()
        private set
    var era = 1L
        private set
    var isAway = false

    /** Keeps a copy of the records as of [now]. */
    fun keepCopy(now: Long) {
        copies.addLast(Copy(now, records, number))
        while (copies.size > KEPT_COPIES) copies.removeFirst()
    }

    /** Returns to the latest copy that is not younger than [time], or the oldest one. */
    fun restore(time: Long) {
        val copy = copies.lastOrNull { it.at <= time } ?: copies.first()
        copies.removeIf { it.at > copy.at }
        era++
        number = copy.number
        records = copy.records.mapValues { it.value.copy(revision = Revision(it.value.revision.number, era)) }
    }

    fun write(key: FleetKey, record: FleetRecord, expected: Revision?): WriteOutcome {
        if (records[key]?.revision != expected) return WriteOutcome.Conflict
        val revision = Revision(++number, era)
        records = records + (key to StoredRecord(record, revision))
        return WriteOutcome.Written(revision)
    }

    fun delete(key: FleetKey, expected: Revision): WriteOutcome {
        if (records[key]?.revision != expected) return WriteOutcome.Conflict
        number++
        records = records - key
        return WriteOutcome.Written(expected)
    }

    private companion object {
        const val KEPT_COPIES = 100
    }
}
