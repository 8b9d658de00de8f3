package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** The positions that a session has seen, by database. Reads of the session must not be older than these. */
@Serializable
data class SessionToken(val positions: Map<DatabaseName, Position> = emptyMap()) {
    /** The position that a read of [database] must reach. */
    fun positionOf(database: DatabaseName): Position = positions[database] ?: Position.ORIGIN

    /** This token with [position] of [database] included. */
    fun including(database: DatabaseName, position: Position): SessionToken =
        if (position <= positionOf(database)) this else SessionToken(positions + (database to position))

    /** The token that has seen what both tokens have seen. */
    fun merge(other: SessionToken): SessionToken =
        other.positions.entries.fold(this) { token, (database, position) -> token.including(database, position) }
}
