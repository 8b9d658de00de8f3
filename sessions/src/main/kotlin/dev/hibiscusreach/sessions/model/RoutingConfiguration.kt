package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis

/** How fresh the reads of a route are. */
sealed interface Consistency {
    /** Reads see every acknowledged commit. */
    data object Primary : Consistency

    /** Reads see every commit that was acknowledged more than [maximumAge] before. */
    data class BoundedStaleness(val maximumAge: Millis) : Consistency

    /** As [BoundedStaleness], and reads see every commit of their own session. */
    data class ReadYourWrites(val maximumAge: Millis) : Consistency
}

/** Name of a group of one primary and its replicas. */
@JvmInline
value class GroupName(val value: String) : Comparable<GroupName> {
    override fun compareTo(other: GroupName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** What operators decide for one database. */
data class Route(
    val database: DatabaseName,
    val group: GroupName,
    val consistency: Consistency,
    /** Time for one statement, counted from its arrival. */
    val statementTimeout: Millis,
    /** Time within which an operation should be complete. */
    val latencyObjective: Millis,
    /** 0 is the highest. */
    val priority: Int,
)

/** What operators decide for one group. */
data class GroupRule(
    val name: GroupName,
    /** Connections that each server of the group accepts from all callers together. */
    val connectionLimit: Int,
    /** Replicas that hold a commit before it is acknowledged. */
    val synchronousReplicas: Int,
)

/** The operators' configuration in the version in force. */
data class RoutingConfiguration(
    val version: Long,
    val routes: Map<DatabaseName, Route>,
    val groups: Map<GroupName, GroupRule>,
    /** A transaction that is idle for longer may be ended. */
    val transactionIdleLimit: Millis,
)
