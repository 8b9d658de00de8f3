package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** Number of a primary's period of office; each promotion has a higher one. */
@Serializable
@JvmInline
value class Term(val number: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = number.compareTo(other.number)

    /** The term after this one. */
    fun next(): Term = Term(number + 1)
    override fun toString(): String = number.toString()
}

/**
 * Position of an entry in a database's log: the term in which it was written and its index. A server whose last entry
 * is not before a position holds everything that was acknowledged up to that position.
 */
@Serializable
data class Position(val term: Term, val index: Long) : Comparable<Position> {
    override fun compareTo(other: Position): Int = compareValuesBy(this, other, Position::term, Position::index)
    override fun toString(): String = "${term.number}.$index"

    companion object {
        /** The position before the first entry. */
        val ORIGIN: Position = Position(term = Term(0), index = 0)
    }
}
