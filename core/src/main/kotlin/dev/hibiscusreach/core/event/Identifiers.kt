package dev.hibiscusreach.core.event

import kotlinx.serialization.Serializable

/** Identifies one arrival of a caller's request; unique within a process. */
@Serializable
@JvmInline
value class ArrivalNumber(val value: Long)

/** The parts of the reducer, as owners of the identifiers that they allocate. */
@Serializable
enum class PartName { MEMBERSHIP, CONFIGURATION, GROUPS, POOLS, REQUESTS }

/** Identifies a command on a session connection; unique within a process. Correlates answers with commands. */
@Serializable
data class AttemptNumber(val owner: PartName, val value: Long)

/** Identifies a session connection to a server; unique within a process and never reused. */
@Serializable
@JvmInline
value class ConnectionNumber(val value: Long)

/** Identifies a call to a server's control endpoint; unique within a process. */
@Serializable
@JvmInline
value class ControlCallNumber(val value: Long)

/** Identifies a call to the platform; unique within a process. The answer goes to the part that made the call. */
@Serializable
data class PlatformCallNumber(val owner: PartName, val value: Long)
