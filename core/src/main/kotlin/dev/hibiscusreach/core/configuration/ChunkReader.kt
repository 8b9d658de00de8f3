package dev.hibiscusreach.core.configuration

import com.github.michaelbull.result.mapBoth
import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** Reads the chunks of a configuration with a higher generation from the platform's store and installs it. */
internal class ChunkReader(context: StepContext) {
    private val installer = ConfigurationInstaller(context)

    /** Starts to read the chunks of [root] that the configuration in effect does not have. */
    fun start(state: ProxyState, root: ConfigurationRoot): StoreProgress {
        val known = knownChunks(state).filterKeys { it in root.chunkHashes }.toPersistentMap()
        val missing = root.chunkHashes.distinct().filterNot { it in known }
        val initial = StorePhase.ReadingChunks(root, persistentMapOf(), known)
        val effects = mutableListOf<Effect>()
        var phase = initial
        var current = state
        for (hash in missing) {
            val call = StoreCalls.start(current, PlatformCall.Get(ConfigurationCodec.chunkKey(hash)))
            phase = phase.copy(calls = phase.calls.put(call.number, hash))
            current = call.state
            effects += call.effects
        }
        val started = current.withStore { copy(phase = phase) }
        return if (missing.isEmpty()) complete(started, phase) else StoreProgress.Continues(Step(started, effects))
    }

    /** Handles the answer to the read of one chunk. */
    fun answered(
        state: ProxyState,
        phase: StorePhase.ReadingChunks,
        call: PlatformCallNumber,
        answer: PlatformAnswer,
    ): StoreProgress =
        if (answer is PlatformAnswer.Found) {
            val hash = phase.calls.getValue(call)
            val next = phase.copy(calls = phase.calls.remove(call), chunks = phase.chunks.put(hash, answer.value))
            val recorded = state.withStore { copy(phase = next) }
            if (next.calls.isEmpty()) complete(recorded, next) else StoreProgress.Continues(Step(recorded))
        } else {
            StoreProgress.Failed(Step(state), "configuration chunk not read: $answer")
        }

    private fun complete(state: ProxyState, phase: StorePhase.ReadingChunks): StoreProgress =
        ConfigurationCodec.decode(phase.root, phase.chunks).mapBoth(
            success = { configuration ->
                if (configuration.generation == phase.root.generation) {
                    val changes = phase.root.recentChanges
                    val step = installer.install(state, configuration, changes, ConfigurationSource.PLATFORM)
                    StoreProgress.Finished(step)
                } else {
                    StoreProgress.Failed(Step(state), "configuration chunks belong to another generation")
                }
            },
            failure = { StoreProgress.Failed(Step(state), "configuration not valid: $it") },
        )

    private fun knownChunks(state: ProxyState): Map<String, String> =
        if (state.configuration.isLoaded) {
            ConfigurationCodec.encode(state.configuration.index.configuration, emptyList()).chunks
        } else {
            emptyMap()
        }
}
