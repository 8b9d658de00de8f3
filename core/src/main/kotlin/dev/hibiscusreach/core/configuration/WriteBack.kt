package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import kotlinx.collections.immutable.persistentSetOf

/** Writes the configuration in effect to a store with a lower generation, such as one restored from a backup. */
internal class WriteBack {
    /** Writes the chunks. Once all are stored, the root is written if its version is still [rootVersion]. */
    fun start(state: ProxyState, rootVersion: Long): StoreProgress {
        val configuration = state.configuration
        val encoded = ConfigurationCodec.encode(configuration.index.configuration, configuration.recentChanges)
        val effects = mutableListOf<Effect>(log(state))
        var phase = StorePhase.WritingChunks(encoded, persistentSetOf(), rootVersion)
        var current = state
        for ((hash, chunk) in encoded.chunks) {
            val put = PlatformCall.Put(ConfigurationCodec.chunkKey(hash), chunk, expectedVersion = 0)
            val call = StoreCalls.start(current, put)
            phase = phase.copy(calls = phase.calls.add(call.number))
            current = call.state
            effects += call.effects
        }
        return StoreProgress.Continues(Step(current.withStore { copy(phase = phase) }, effects))
    }

    /** Handles the answer to the write of one chunk. A conflict means that the chunk is stored already. */
    fun chunkAnswered(
        state: ProxyState,
        phase: StorePhase.WritingChunks,
        call: PlatformCallNumber,
        answer: PlatformAnswer,
    ): StoreProgress =
        if (answer is PlatformAnswer.Stored || answer is PlatformAnswer.VersionConflict) {
            val next = phase.copy(calls = phase.calls.remove(call))
            if (next.calls.isEmpty()) {
                writeRoot(state, next)
            } else {
                StoreProgress.Continues(Step(state.withStore { copy(phase = next) }))
            }
        } else {
            StoreProgress.Failed(Step(state), "configuration chunk not written back: $answer")
        }

    /** Handles the answer to the write of the root. After a conflict the root is read again. */
    fun rootAnswered(state: ProxyState, answer: PlatformAnswer): StoreProgress =
        when (answer) {
            is PlatformAnswer.Stored, is PlatformAnswer.VersionConflict ->
                StoreProgress.Finished(Step(state.withStore { copy(rootVersion = null) }))
            else -> StoreProgress.Failed(Step(state), "configuration root not written back: $answer")
        }

    private fun writeRoot(state: ProxyState, phase: StorePhase.WritingChunks): StoreProgress {
        val value = ConfigurationCodec.encodeRoot(phase.encoded.root)
        val call = StoreCalls.start(state, PlatformCall.Put(ConfigurationCodec.ROOT_KEY, value, phase.rootVersion))
        val writing = call.state.withStore { copy(phase = StorePhase.WritingRoot(call.number)) }
        return StoreProgress.Continues(Step(writing, call.effects))
    }

    private fun log(state: ProxyState): Effect {
        val fields =
            mapOf(
                "stored" to state.configuration.store.generation.toString(),
                "inEffect" to state.configuration.index.generation.toString(),
            )
        return Effect.Log(LogLevel.WARN, "the store has an older configuration; writing back", fields)
    }
}
