package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** Term number of a primary, increased by each promotion. */
@Serializable
@JvmInline
value class Term(val number: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = number.compareTo(other.number)

    /** The term after this one. */
    fun next(): Term = Term(number + 1)
    override fun toString(): String = number.toString()
}

/**
 * Position of an entry in a database's log: the term in which it was written and its index, ordered by term first.
 * A server whose last entry is at or after a position has all writes that were acknowledged up to that position.
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
