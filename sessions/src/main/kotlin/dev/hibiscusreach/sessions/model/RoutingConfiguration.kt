package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.tenant.TenantDirectory
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Consistency level of the reads of a route. */
@Serializable
sealed interface Consistency {
    /** Reads see every acknowledged commit. */
    @Serializable
    @SerialName("primary")
    data object Primary : Consistency

    /** Reads see every commit that was acknowledged more than [maximumAge] before. */
    @Serializable
    @SerialName("bounded")
    data class BoundedStaleness(val maximumAge: Millis) : Consistency

    /** As [BoundedStaleness], and reads see every commit of their own session. */
    @Serializable
    @SerialName("ownWrites")
    data class ReadYourWrites(val maximumAge: Millis) : Consistency
}

/** Name of a group of one primary and its replicas. */
@Serializable
@JvmInline
value class GroupName(val value: String) : Comparable<GroupName> {
    override fun compareTo(other: GroupName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** The operators' settings for one database. */
@Serializable
data class Route(
    val database: DatabaseName,
    val group: GroupName,
    val consistency: Consistency,
    /** Timeout of a statement, counted from its arrival. */
    val statementTimeout: Millis,
    /** Target latency of a statement. */
    val latencyObjective: Millis,
    /** Priority among waiting statements; 0 is the highest. */
    val priority: Int,
    /** Whether callers need no key. */
    val public: Boolean = false,
)

/** The operators' settings for one group. */
data class GroupRule(
    val name: GroupName,
    /** Maximum number of connections that each server of the group accepts in total. */
    val connectionLimit: Int,
    /** Number of replicas that must have received a commit before it is acknowledged. */
    val synchronousReplicas: Int,
)

/** The operators' configuration at [version]. */
data class RoutingConfiguration(
    val version: Long,
    val routes: Map<DatabaseName, Route>,
    val groups: Map<GroupName, GroupRule>,
    /** A transaction that is idle for longer may be ended. */
    val transactionIdleLimit: Millis,
    /** Null if callers are not identified. */
    val tenants: TenantDirectory? = null,
)
