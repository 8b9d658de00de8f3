package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** What routing needs to know of one server. */
data class ServerView(
    val name: ServerName,
    /** Answered recently enough to be sent work. */
    val reachable: Boolean,
    val leaving: Boolean,
    val applied: Position,
    /** Smoothed time between sending a probe and its answer. */
    val latency: Millis,
    /** Share of normal work that the server should get after it came back, 0 to 100. */
    val warmUpPercent: Int,
)

/** The groups part's view of all database groups. */
class GroupsState {
    /** The current term of [database]; term 0 if it is not known yet. */
    fun term(database: DatabaseName): Term = TODO("$database")

    /** The primary of the current term, or null while it is not known or being replaced. */
    fun primary(database: DatabaseName): ServerName? = TODO("$database")

    /** All servers of [database] as routing sees them. */
    fun servers(database: DatabaseName, now: MonotonicTime): List<ServerView> = TODO("$database $now")

    /** The highest position of the current term that a majority of the group is known to hold. */
    fun durable(database: DatabaseName): Position = TODO("$database")

    /** The head of the newest verified sample; no acknowledged write up to its sample time is after it. */
    fun verifiedHead(database: DatabaseName): Position? = TODO("$database")

    /** Upper bound of the age of data at [position], or null if nothing is known of its age. */
    fun ageOf(database: DatabaseName, position: Position, now: MonotonicTime): Millis? = TODO(
        "$database $position $now"
    )

    /** The latest time T such that a majority answered in the current term to something sent at or after T. */
    fun leadershipVerifiedAt(database: DatabaseName): MonotonicTime? = TODO("$database")
}
