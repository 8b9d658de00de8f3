package dev.hibiscusreach.daemon

import com.github.michaelbull.result.getOrElse
import dev.hibiscusreach.core.configuration.ConfigurationCodec
import dev.hibiscusreach.core.configuration.EditResult
import dev.hibiscusreach.core.configuration.StoredConfiguration
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall

/** How an attempt to store a change ended. */
internal sealed interface StoreResult {
    /** The change is accepted. */
    data object Accepted : StoreResult

    /** Another edit came first. */
    data class Lost(val current: StoredConfiguration) : StoreResult
}

/** Reads and conditionally replaces the configuration on the platform. */
internal class PlatformConfiguration(private val platform: PlatformCalls) {
    /** The configuration as it stands; generation 0 if none was loaded yet. */
    fun read(): StoredConfiguration =
        when (val answer = callRepeatedly(PlatformCall.Get(ConfigurationCodec.ROOT_KEY))) {
            is PlatformAnswer.Found -> decode(answer)
            is PlatformAnswer.Missing -> StoredConfiguration()
            else -> unexpected("reading the configuration", answer)
        }

    /** Stores the [prepared] change called [change], unless another edit came first. */
    fun store(prepared: EditResult.Prepared, change: String): StoreResult {
        prepared.chunks.forEach(::storeChunk)
        return when (val answer = platform.call(prepared.root)) {
            is PlatformAnswer.Stored -> StoreResult.Accepted
            is PlatformAnswer.VersionConflict -> compare(change)
            is PlatformAnswer.Failed -> resolve(prepared, change, answer.reason)
            else -> unexpected("storing the configuration", answer)
        }
    }

    // The root changed after it was read: by another edit, or by this one if an answer was lost.
    private fun compare(change: String): StoreResult {
        val current = read()
        val accepted = change in current.root?.recentChanges.orEmpty()
        return if (accepted) StoreResult.Accepted else StoreResult.Lost(current)
    }

    // The put may have taken effect although its answer was lost.
    private fun resolve(prepared: EditResult.Prepared, change: String, reason: String): StoreResult {
        val result = compare(change)
        val unchanged = result is StoreResult.Lost && result.current.rootVersion == prepared.root.expectedVersion
        if (unchanged) throw CommandFailure(ExitCode.UNREACHABLE, "the platform did not store the root: $reason")
        return result
    }

    // A chunk's key is the hash of its content, so a chunk that exists already is the same one.
    private fun storeChunk(put: PlatformCall.Put) {
        when (val answer = callRepeatedly(put)) {
            is PlatformAnswer.Stored, is PlatformAnswer.VersionConflict -> Unit
            else -> unexpected("storing a chunk", answer)
        }
    }

    // For calls whose repetition does no harm.
    private fun callRepeatedly(request: PlatformCall): PlatformAnswer =
        (1..ATTEMPTS)
            .asSequence()
            .onEach { if (it > 1) Thread.sleep(PAUSE_MILLIS) }
            .map { platform.call(request) }
            .withIndex()
            .first { (index, answer) -> answer !is PlatformAnswer.Failed || index == ATTEMPTS - 1 }
            .value

    private fun decode(found: PlatformAnswer.Found): StoredConfiguration {
        val root = ConfigurationCodec.decodeRoot(found.value).getOrElse { unreadable(it) }
        val chunks = root.chunkHashes.associateWith(::chunk)
        val configuration = ConfigurationCodec.decode(root, chunks).getOrElse { unreadable(it) }
        return StoredConfiguration(root, found.version, configuration)
    }

    private fun chunk(hash: String): String =
        when (val answer = callRepeatedly(PlatformCall.Get(ConfigurationCodec.chunkKey(hash)))) {
            is PlatformAnswer.Found -> answer.value
            else -> unexpected("reading a chunk", answer)
        }

    private fun unreadable(error: Any): Nothing =
        throw CommandFailure(ExitCode.UNREACHABLE, "the configuration on the platform cannot be read: $error")

    private fun unexpected(step: String, answer: PlatformAnswer): Nothing {
        val reason = if (answer is PlatformAnswer.Failed) answer.reason else answer.toString()
        throw CommandFailure(ExitCode.UNREACHABLE, "$step failed: $reason")
    }

    private companion object {
        const val ATTEMPTS = 3
        const val PAUSE_MILLIS = 500L
    }
}
