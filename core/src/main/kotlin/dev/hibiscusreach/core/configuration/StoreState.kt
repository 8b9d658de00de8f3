package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.model.MonotonicTime
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet

/** A watcher's current operation on the platform's store. Answers to calls of earlier operations are ignored. */
sealed interface StorePhase {
    /** No call is outstanding. */
    data class Idle(
        /** Whether the retry timer is running; no call starts before it fires. */
        val retryScheduled: Boolean = false,
    ) : StorePhase

    /** Waits for the answer to a read or a long poll of the root. */
    data class ReadingRoot(
        val call: PlatformCallNumber,
        val startedAt: MonotonicTime,
        /** Whether the call is a long poll. */
        val isWatch: Boolean,
    ) : StorePhase

    /** Waits for the chunks of [root] that this process does not have. */
    data class ReadingChunks(
        val root: ConfigurationRoot,
        /** The hash of the chunk that each outstanding call reads. */
        val calls: PersistentMap<PlatformCallNumber, String>,
        /** Contents of the chunks at hand, by hash. */
        val chunks: PersistentMap<String, String>,
    ) : StorePhase

    /** Waits until the chunks of a newer configuration are written back. */
    data class WritingChunks(
        val encoded: EncodedConfiguration,
        val calls: PersistentSet<PlatformCallNumber>,
        /** Version of the root with the lower generation, which is the expected version when the root is replaced. */
        val rootVersion: Long,
    ) : StorePhase

    /** Waits until the root of a newer configuration is written back. */
    data class WritingRoot(val call: PlatformCallNumber) : StorePhase
}

/** The platform's store as a watcher knows it. */
data class StoreState(
    val phase: StorePhase = StorePhase.Idle(),
    /** Version of the root that was read last; null if the next call must be a read instead of a long poll. */
    val rootVersion: Long? = null,
    /** Generation of the root that was read last. */
    val generation: Long = 0,
    /** Failures since the last valid answer to a read or long poll of the root. */
    val failures: Int = 0,
    /** Calls started since the process started; the sequence number of the latest one. */
    val callCount: Long = 0,
)
