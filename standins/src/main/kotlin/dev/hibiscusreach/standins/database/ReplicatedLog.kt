package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term

/** The log of one server. Indexes are consecutive from 1; a position identifies one entry in all logs of a group. */
internal class ReplicatedLog {
    private val entries = ArrayList<LogEntry>()

    /** Position of the last entry. */
    val last: Position get() = entries.lastOrNull()?.position ?: Position.ORIGIN

    /** The position of the next entry that a primary of [term] writes. */
    fun next(term: Term): Position = Position(term, last.index + 1)

    /** Whether the entry of [position] is in this log. */
    fun holds(position: Position): Boolean = position == Position.ORIGIN || at(position.index)?.position == position

    /** Whether the index of [position] is taken by another entry. */
    fun contradicts(position: Position): Boolean = at(position.index)?.let { it.position != position } == true

    /** Adds [entry] at the end. */
    fun append(entry: LogEntry) {
        require(entry.position.index == last.index + 1) { "${entry.position} does not follow $last" }
        entries += entry
    }

    /** Removes all entries from [index] on. */
    fun truncateFrom(index: Long) {
        entries.subList((index - 1).toInt(), entries.size).clear()
    }

    /** Up to [limit] entries that follow [position]. */
    fun after(position: Position, limit: Int): List<LogEntry> {
        val from = position.index.toInt()
        return entries.subList(from, minOf(from + limit, entries.size)).toList()
    }

    /** All entries, oldest first. */
    fun all(): List<LogEntry> = entries

    /**
     * Positions from the last one backwards with doubling gaps, so that a primary finds a common entry in a
     * request whose size grows only with the logarithm of the log.
     */
    fun samplePositions(): List<Position> {
        val gaps = generateSequence(1L) { it * 2 }
        val indexes = gaps.runningFold(last.index) { index, gap -> index - gap }.takeWhile { it > 0 }
        return indexes.mapNotNull { at(it)?.position }.toList()
    }

    private fun at(index: Long): LogEntry? = entries.getOrNull((index - 1).toInt())
}
