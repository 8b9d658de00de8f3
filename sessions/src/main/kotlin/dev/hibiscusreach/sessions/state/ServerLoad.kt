package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.GroupName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** What this proxy has learned for the selection of servers; empty unless the selection is adaptive. */
data class SelectionState(
    val servers: PersistentMap<ServerName, ServerLoad> = persistentMapOf(),
    val retries: PersistentMap<GroupName, RetryCounts> = persistentMapOf(),
)

/** The recent attempts of the statements of a group. */
data class RetryCounts(
    /** First attempts. */
    val attempts: DecayedCount = DecayedCount(),
    val retries: DecayedCount = DecayedCount(),
)

/** The load of a server as its answers to this proxy show it. */
data class ServerLoad(
    /** Null before the first statement. */
    val latency: ObservedLatency? = null,
    /** Recent rejections because of overload. */
    val overloads: DecayedCount = DecayedCount(),
    /** Recent statements of this proxy. */
    val statements: DecayedCount = DecayedCount(),
    /** The recent [statements] that no other server could run. */
    val boundStatements: DecayedCount = DecayedCount(),
    /** Null until the first statement has been answered. */
    val limit: LearnedLimit? = null,
    /** Recent failures since the latest ejection. */
    val failures: DecayedCount = DecayedCount(),
    /** Smoothed share of the statements that failed, between 0 and 1. */
    val failureShare: Double = 0.0,
    val ejection: Ejection? = null,
    /** When the latest slow start began; null if there was none. */
    val startedAt: MonotonicTime? = null,
)

/** A learned limit on the statements that this proxy has in flight at a server. */
data class LearnedLimit(
    val value: Int,
    /** Successes at the limit since it last changed. */
    val successes: Int = 0,
    val loweredAt: MonotonicTime? = null,
    /** Whether the server was the primary; what it takes as a replica says little about it as the primary. */
    val asPrimary: Boolean = false,
)
