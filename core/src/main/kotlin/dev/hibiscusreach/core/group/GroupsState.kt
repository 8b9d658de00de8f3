package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ControlCallNumber
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The state of one server as routing needs it. */
data class ServerView(
    val name: ServerName,
    /** Whether the server answered recently and is the primary, or follows it in the current term. */
    val reachable: Boolean,
    val leaving: Boolean,
    val applied: Position,
    /** Smoothed round-trip time of the probes. */
    val latency: Millis,
    /** Percentage of the normal share of reads that a returning server gets, 0 to 100. */
    val warmUpPercent: Int,
)

/** State of the groups part: the database groups of which this process is the home. */
@ConsistentCopyVisibility
data class GroupsState internal constructor(
    internal val databases: PersistentMap<DatabaseName, GroupState> = persistentMapOf(),
    internal val calls: PersistentMap<ControlCallNumber, ControlCall> = persistentMapOf(),
    internal val lastControlCall: Long = 0,
    internal val lastPlatformCall: Long = 0,
    /** Servers that the platform lists as leaving. */
    internal val leavingServers: Set<ServerName> = emptySet(),
    /** Start of the latest probe period. A long gap means that this process was paused. */
    internal val lastProbePeriodAt: MonotonicTime? = null,
    internal val homes: HomeSelection = HomeSelection(),
) {
    /** The current term of [database]; term 0 if it is not known yet. */
    fun term(database: DatabaseName): Term = databases[database]?.term ?: Term(0)

    /** The primary of the current term, or null while it is not known or being replaced. */
    fun primary(database: DatabaseName): ServerName? = databases[database]?.servingPrimary()

    /** All servers of [database] as routing needs them; empty if this process is not a home of it. */
    fun servers(database: DatabaseName, now: MonotonicTime): List<ServerView> =
        databases[database]?.let { group -> group.group.servers.map { group.view(it.name, now) } }
            ?: emptyList()

    /** The highest position of the current term that a majority of the group is known to hold. */
    fun durable(database: DatabaseName): Position = databases[database]?.durable() ?: Position.ORIGIN

    /**
     * Whether a majority is known to hold [position] and no promotion can lose it. Unlike a comparison with [durable],
     * this is also right for a position that only a replaced primary wrote.
     */
    fun isDurable(database: DatabaseName, position: Position): Boolean =
        databases[database]?.isDurable(position) ?: false

    /** The head in the newest verified sample. Every write acknowledged before its sample time is at or before it. */
    fun verifiedHead(database: DatabaseName): Position? = databases[database]?.samples?.newest?.position

    /** Upper bound of the age of data at [position], or null if the age is unknown. */
    fun ageOf(database: DatabaseName, position: Position, now: MonotonicTime): Millis? =
        databases[database]
            ?.takeIf { position.term == it.term || (position.term < it.term && it.isDurable(position)) }
            ?.let { it.samples.newestWithin(position) }
            ?.let { now - it.sentAt }

    /** The latest time T such that a majority answered in the current term to commands sent at or after T. */
    fun leadershipVerifiedAt(database: DatabaseName): MonotonicTime? = databases[database]?.leadershipVerifiedAt()
}
