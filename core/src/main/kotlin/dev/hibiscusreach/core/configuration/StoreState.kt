package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.model.MonotonicTime
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet

/** What a watcher does with the platform's store at the moment. Answers to other calls than its own are ignored. */
sealed interface StorePhase {
    /** No call is outstanding. */
    data class Idle(
        /** Whether the retry timer runs. */
        val retryScheduled: Boolean = false,
    ) : StorePhase

    /** Waits for the root, by a read or a long poll. */
    data class ReadingRoot(
        val call: PlatformCallNumber,
        val startedAt: MonotonicTime,
        /** Whether the call is a long poll. */
        val isWatch: Boolean,
    ) : StorePhase

    /** Waits for the chunks of [root] that are not at hand. */
    data class ReadingChunks(
        val root: ConfigurationRoot,
        /** Outstanding calls with the hash of the chunk that each one reads. */
        val calls: PersistentMap<PlatformCallNumber, String>,
        val chunks: PersistentMap<String, String>,
    ) : StorePhase

    /** Waits for the chunks of a newer configuration to be written back. */
    data class WritingChunks(
        val encoded: EncodedConfiguration,
        val calls: PersistentSet<PlatformCallNumber>,
        /** The version that the root had when it was found to be behind. */
        val rootVersion: Long,
    ) : StorePhase

    /** Waits for the root of a newer configuration to be written back. */
    data class WritingRoot(val call: PlatformCallNumber) : StorePhase
}

/** What a watcher knows of the platform's store. */
data class StoreState(
    val phase: StorePhase = StorePhase.Idle(),
    /** Version of the root that was read last; null if the root must be read instead of watched. */
    val rootVersion: Long? = null,
    /** Generation of the root that was read last. */
    val generation: Long = 0,
    /** Calls that failed since the last one that succeeded. */
    val failures: Int = 0,
    val calls: Long = 0,
)
