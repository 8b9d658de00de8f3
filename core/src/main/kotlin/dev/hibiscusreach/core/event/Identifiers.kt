package dev.hibiscusreach.core.event

import kotlinx.serialization.Serializable

/** One arrival of a caller's request at this process. */
@Serializable
@JvmInline
value class ArrivalNumber(val value: Long)

/** The parts of the reducer, as owners of the identifiers that they give out. */
@Serializable
enum class PartName { MEMBERSHIP, CONFIGURATION, GROUPS, POOLS, REQUESTS }

/** One command on a session connection; unique within a process. Answers are matched to it. */
@Serializable
data class AttemptNumber(val owner: PartName, val value: Long)

/** One session connection to a server; unique within a process and never reused. */
@Serializable
@JvmInline
value class ConnectionNumber(val value: Long)

/** One call to a server's control endpoint; unique within a process. */
@Serializable
@JvmInline
value class ControlCallNumber(val value: Long)

/** One call to the platform; unique within a process. Answers go to the part that made the call. */
@Serializable
data class PlatformCallNumber(val owner: PartName, val value: Long)
