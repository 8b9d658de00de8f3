package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.Statement

/** Assigns work to a fixed number of slots in the order of arrival. */
class SlotSchedule(slots: Int) {
    private val freeAt = LongArray(slots)

    /** Number of slots that are in use at [now]. */
    fun busy(now: Long): Int = freeAt.count { it > now }

    /** Takes the slot that is free first for [duration]; returns the time at which the work is done. */
    fun reserve(now: Long, duration: Long): Long {
        val slot = freeAt.indices.minBy { freeAt[it] }
        val end = maxOf(now, freeAt[slot]) + duration
        freeAt[slot] = end
        return end
    }

    companion object {
        /** The time that [command] takes in a slot if each statement takes [statementMillis] besides its sleep. */
        fun duration(command: SessionCommand, statementMillis: Long): Long =
            command.statements().let { it.size * statementMillis + StatementLanguage.sleepMillis(it) }

        private fun SessionCommand.statements(): List<Statement> =
            when (this) {
                is SessionCommand.Execute -> statements
                is SessionCommand.Run -> statements
                else -> emptyList()
            }
    }
}
