package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term

/** What this process has observed of one server of a monitored group. */
internal data class ServerHealth(
    val status: ServerStatus? = null,
    /** Send time of the command that [status] answered. */
    val statusSentAt: MonotonicTime = NEVER,
    /** When the latest answer arrived. */
    val respondedAt: MonotonicTime? = null,
    /** Latest send time of a command that the server answered in the term of [status]. */
    val answeredInTermAt: MonotonicTime = NEVER,
    /** Highest position that the server reported in the term of [status]. */
    val held: Position = Position.ORIGIN,
    /** When the reported position last changed. */
    val progressedAt: MonotonicTime = NEVER,
    /** When the first refused connection since the latest answer was attempted. */
    val refusedAt: MonotonicTime? = null,
    /** Whether connections were refused at least one probe period apart, which excludes a single short fault. */
    val refusedRepeatedly: Boolean = false,
    val latencyMillis: Double? = null,
    /** Start of the warm-up after the server came back or caught up; null if it needs none. */
    val warmUpFrom: MonotonicTime? = null,
    val farBehind: Boolean = false,
    /** The term in which the server last confirmed a Follow command. */
    val followedTerm: Term? = null,
    val followSentAt: MonotonicTime? = null,
) {
    /** The term in [status]. */
    val term: Term? get() = status?.term

    /** Whether the server answered within [limit] and has refused no connection since. */
    fun isReachable(now: MonotonicTime, limit: Millis): Boolean =
        refusedAt == null && respondedAt != null && now - respondedAt < limit

    /** This health after an answer to a command sent at [sentAt] arrived at [now]. */
    fun observed(answer: ServerStatus, sentAt: MonotonicTime, now: MonotonicTime): ServerHealth {
        val next = withAnswer(answer, sentAt, withResponse(sentAt, now))
        return if (next.status?.applied != status?.applied) next.copy(progressedAt = now) else next
    }

    private fun withAnswer(answer: ServerStatus, sentAt: MonotonicTime, responded: ServerHealth): ServerHealth {
        val currentTerm = term
        return when {
            currentTerm == null || answer.term > currentTerm -> responded.withNewTerm(answer, sentAt)
            answer.term == currentTerm -> responded.withSameTerm(answer, sentAt)
            // A lower term in answer to a command sent after the last answer: the server lost its state. Otherwise the
            // answer is just late.
            respondedAt != null && sentAt > respondedAt -> responded.withNewTerm(answer, sentAt)
            else -> responded
        }
    }

    /** This health after a connection or call made at [attemptedAt] failed; only refused connections change it. */
    fun failed(failure: ConnectionFailure, attemptedAt: MonotonicTime, spacing: Millis): ServerHealth =
        when {
            failure != ConnectionFailure.REFUSED -> this
            refusedAt == null -> copy(refusedAt = attemptedAt)
            attemptedAt - refusedAt >= spacing -> copy(refusedRepeatedly = true)
            else -> this
        }

    /** This health with a probe's round-trip time added to the exponentially smoothed latency. */
    fun withLatency(sample: Millis): ServerHealth {
        val previous = latencyMillis ?: return copy(latencyMillis = sample.value.toDouble())
        return copy(latencyMillis = previous + (sample.value - previous) * LATENCY_GAIN)
    }

    private fun withResponse(sentAt: MonotonicTime, now: MonotonicTime): ServerHealth =
        if (refusedAt != null && sentAt < refusedAt) {
            copy(respondedAt = now)
        } else {
            copy(respondedAt = now, refusedAt = null, refusedRepeatedly = false)
        }

    private fun withNewTerm(answer: ServerStatus, sentAt: MonotonicTime): ServerHealth =
        copy(status = answer, statusSentAt = sentAt, answeredInTermAt = sentAt, held = answer.applied)

    // Answers may arrive out of order: the newest status counts, but a position once held in the term stays held.
    private fun withSameTerm(answer: ServerStatus, sentAt: MonotonicTime): ServerHealth {
        val newer = sentAt >= statusSentAt
        return copy(
            status = if (newer) answer else status,
            statusSentAt = maxOf(statusSentAt, sentAt),
            answeredInTermAt = maxOf(answeredInTermAt, sentAt),
            held = maxOf(held, answer.applied),
        )
    }

    companion object {
        /** Lies before every time that occurs, with room for subtraction without overflow. */
        val NEVER: MonotonicTime = MonotonicTime(Long.MIN_VALUE / 2)

        private const val LATENCY_GAIN = 0.125
    }
}
