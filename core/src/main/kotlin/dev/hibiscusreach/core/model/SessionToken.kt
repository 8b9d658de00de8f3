package dev.hibiscusreach.core.model

import kotlinx.serialization.Serializable

/** The highest position that a session has observed of each database. The session's reads must not be older. */
@Serializable
data class SessionToken(val positions: Map<DatabaseName, Position> = emptyMap()) {
    /** The minimum position that a server must have applied to serve a read of [database]. */
    fun positionOf(database: DatabaseName): Position = positions[database] ?: Position.ORIGIN

    /** A token that is raised to [position] for [database], or this token if it is already there. */
    fun including(database: DatabaseName, position: Position): SessionToken =
        if (position <= positionOf(database)) this else SessionToken(positions + (database to position))

    /** A token with the higher position of both tokens for each database. */
    fun merge(other: SessionToken): SessionToken =
        other.positions.entries.fold(this) { token, (database, position) -> token.including(database, position) }
}
