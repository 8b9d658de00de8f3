package dev.hibiscusreach.standins.driver

import java.util.concurrent.ConcurrentLinkedQueue

/** Kind of an operation. */
internal enum class OperationKind { READ, WRITE }

/** One attempt of an operation. Times are nanoseconds of this process's monotonic clock. */
internal data class OperationRecord(
    val session: Int,
    val requestId: String,
    val kind: OperationKind,
    /** The time at which the operation was due, which is before it was sent if the session was late. */
    val dueNanos: Long,
    val invokedNanos: Long,
    val completedNanos: Long,
    val outcome: String,
    val server: String?,
    val value: String?,
)

/** All attempts of a run. */
internal class OperationLog {
    private val records = ConcurrentLinkedQueue<OperationRecord>()

    /** Adds an attempt; safe for concurrent use. */
    fun add(record: OperationRecord) {
        records += record
    }

    /** All attempts in the order of their completion. */
    fun all(): List<OperationRecord> = records.sortedBy { it.completedNanos }
}
