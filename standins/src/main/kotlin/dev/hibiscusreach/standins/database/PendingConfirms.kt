package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.ServerStatus

/** The answer to the confirm that was passed in as [call]. */
data class CompletedConfirm(val call: Long, val answer: ControlAnswer)

/** Confirms that wait for their position. */
internal class PendingConfirms(
    private val contents: DatabaseContents,
    private val terms: TermState,
    private val status: (Long) -> ServerStatus,
) {
    private class Pending(val command: ControlCommand.Confirm, val deadline: Long)

    private val pending = LinkedHashMap<Long, Pending>()

    /** The earliest time at which a wait ends, or null if nothing waits. */
    val nextDeadline: Long? get() = pending.values.minOfOrNull { it.deadline }

    /** The answer to [command], or null if it has to wait. */
    fun answer(call: Long, command: ControlCommand.Confirm, now: Long): ControlAnswer? {
        val answer = decide(command, command.waitMillis <= 0, now)
        if (answer == null) pending[call] = Pending(command, now + command.waitMillis)
        return answer
    }

    /** Removes and returns the confirms that can be answered at [now]. */
    fun complete(now: Long): List<CompletedConfirm> {
        val completed =
            pending.mapNotNull { (call, waiting) ->
                decide(waiting.command, now >= waiting.deadline, now)?.let { CompletedConfirm(call, it) }
            }
        completed.forEach { pending.remove(it.call) }
        return completed
    }

    // A log whose last entry is of the current term agrees with the log of the current primary.
    private fun decide(command: ControlCommand.Confirm, waitIsOver: Boolean, now: Long): ControlAnswer? {
        val log = contents.log
        val agrees = command.term == terms.term && log.last.term == command.term
        return when {
            command.term < terms.term -> ControlAnswer.Refused(status(now), "term is ${terms.term}")
            agrees && log.holds(command.position) -> ControlAnswer.Confirmed(status(now))
            agrees && log.contradicts(command.position) -> ControlAnswer.Refused(status(now), "another entry is there")
            waitIsOver -> ControlAnswer.Refused(status(now), "position not reached in time")
            else -> null
        }
    }
}
