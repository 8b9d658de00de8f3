package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term

/** What this process knows of one server of a monitored group. */
internal data class ServerHealth(
    val status: ServerStatus? = null,
    /** Send time of the command that [status] answered. */
    val statusSentAt: MonotonicTime = NEVER,
    /** When the latest answer arrived. */
    val respondedAt: MonotonicTime? = null,
    /** Latest send time of anything that the server answered in the term of [status]. */
    val answeredInTermAt: MonotonicTime = NEVER,
    /** Highest position that the server reported in the term of [status]. */
    val held: Position = Position.ORIGIN,
    /** The first refused connection since the latest answer. */
    val refusedAt: MonotonicTime? = null,
    /** Whether connections were refused at two times far enough apart to exclude a single glitch. */
    val refusedRepeatedly: Boolean = false,
    val latencyMillis: Double? = null,
    /** The start of the slow start after an absence; null if the server gets its full share. */
    val warmUpFrom: MonotonicTime? = null,
    val farBehind: Boolean = false,
    /** The term in which the server confirmed that it follows the primary. */
    val followedTerm: Term? = null,
    val followSentAt: MonotonicTime? = null,
) {
    /** The term that the server reported last. */
    val term: Term? get() = status?.term

    /** Whether the server answered within [limit] and did not refuse a connection since. */
    fun isReachable(now: MonotonicTime, limit: Millis): Boolean =
        refusedAt == null && respondedAt != null && now - respondedAt < limit

    /** This health after an answer, that arrived now, to something sent at [sentAt]. */
    fun observed(answer: ServerStatus, sentAt: MonotonicTime, now: MonotonicTime): ServerHealth {
        val responded = withResponse(sentAt, now)
        val known = term
        return when {
            known == null || answer.term > known -> responded.inTermOf(answer, sentAt)
            answer.term == known -> responded.inSameTerm(answer, sentAt)
            // Sent after a higher term was reported: the server lost its state. Otherwise the answer is just late.
            respondedAt != null && sentAt > respondedAt -> responded.inTermOf(answer, sentAt)
            else -> responded
        }
    }

    /** This health after a failed connection or call. */
    fun failed(failure: ConnectionFailure, now: MonotonicTime, spacing: Millis): ServerHealth =
        when {
            failure != ConnectionFailure.REFUSED -> this
            refusedAt == null -> copy(refusedAt = now)
            now - refusedAt >= spacing -> copy(refusedRepeatedly = true)
            else -> this
        }

    /** This health with a probe's round trip included in the smoothed latency. */
    fun withLatency(sample: Millis): ServerHealth {
        val known = latencyMillis ?: return copy(latencyMillis = sample.value.toDouble())
        return copy(latencyMillis = known + (sample.value - known) * LATENCY_GAIN)
    }

    private fun withResponse(sentAt: MonotonicTime, now: MonotonicTime): ServerHealth =
        if (refusedAt != null && sentAt < refusedAt) {
            copy(respondedAt = now)
        } else {
            copy(respondedAt = now, refusedAt = null, refusedRepeatedly = false)
        }

    private fun inTermOf(answer: ServerStatus, sentAt: MonotonicTime): ServerHealth =
        copy(status = answer, statusSentAt = sentAt, answeredInTermAt = sentAt, held = answer.applied)

    // Answers may arrive out of order: the newest status counts, but what was held in the term stays held.
    private fun inSameTerm(answer: ServerStatus, sentAt: MonotonicTime): ServerHealth {
        val newer = sentAt >= statusSentAt
        return copy(
            status = if (newer) answer else status,
            statusSentAt = maxOf(statusSentAt, sentAt),
            answeredInTermAt = maxOf(answeredInTermAt, sentAt),
            held = maxOf(held, answer.applied),
        )
    }

    companion object {
        /** Before all times. */
        val NEVER: MonotonicTime = MonotonicTime(Long.MIN_VALUE / 2)

        private const val LATENCY_GAIN = 0.125
    }
}
