package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.ForwardedOperation
import dev.hibiscusreach.sessions.model.ForwardedStatement
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session

/** Size of the messages that forward statements. A frame above the limit of links would end the link for everybody. */
internal object ForwardedSize {
    /** UTF-8 needs at most this many bytes for each UTF-16 unit. */
    private const val MAXIMUM_UNIT_BYTES = 3L

    /** Length prefixes of the name and the text of a value. */
    private const val ENTRY_BYTES = 10L
    private const val ONE_BYTE_UNITS = 0x80
    private const val TWO_BYTE_UNITS = 0x800

    /** Whether the texts of [statement] take more than [limit] bytes in UTF-8. */
    fun exceeds(statement: ForwardedStatement, limit: Int): Boolean {
        val entries = statement.values.size * ENTRY_BYTES
        // The number of characters decides in nearly all cases, without a look at each of them.
        val units = texts(statement).sumOf { it.length.toLong() }
        return when {
            units * MAXIMUM_UNIT_BYTES + entries <= limit -> false
            units + entries > limit -> true
            else -> texts(statement).sumOf(::encodedBytes) + entries > limit
        }
    }

    /**
     * Refuses a statement that exceeds the limit. An open transaction stays open: nothing of the statement was sent,
     * and the caller can make the values smaller.
     */
    fun refuse(reduction: Reduction, session: Session, pending: PendingStatement) {
        reduction.dequeue(pending.route.group, session.number)
        OperationAllowances.release(reduction, session.copy(pending = pending))
        reduction.count(SessionCounter.LIMITS, "forward-bytes")
        val limit = reduction.settings.homes.forwardLimitBytes
        val message = "a statement and the values of its session have at most $limit bytes together"
        val reply = SessionReplies.refusal(reduction, session, ErrorKind.REQUEST_TOO_LARGE, message)
        SessionReplies.answerPending(reduction, session, pending, reply)
    }

    private fun texts(statement: ForwardedStatement): Sequence<String> {
        val ofOperation =
            when (val operation = statement.operation) {
                is ForwardedOperation.Run -> sequenceOf(operation.text)
                is ForwardedOperation.Execute -> sequenceOf(operation.prepared.text, operation.arguments)
                ForwardedOperation.Commit -> emptySequence()
            }
        return ofOperation + statement.identifier + statement.values.asSequence().flatMap { listOf(it.key, it.value) }
    }

    // A surrogate pair has four bytes, two for each unit.
    private fun encodedBytes(text: String): Long =
        text.sumOf { unit ->
            when {
                unit.code < ONE_BYTE_UNITS -> 1L
                unit.code < TWO_BYTE_UNITS || unit.isSurrogate() -> 2L
                else -> MAXIMUM_UNIT_BYTES
            }
        }
}
