package dev.hibiscusreach.core.configuration

import com.github.michaelbull.result.mapBoth
import dev.hibiscusreach.core.event.ConfigurationRoot
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.membership.Watchers
import dev.hibiscusreach.core.model.seconds
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Watches the root in the platform's store while this process is a watcher. */
internal class StoreWatch(private val context: StepContext) {
    private val chunkReading = ChunkReading(context)
    private val writeBack = WriteBack()
    private val pause = StorePause(context)

    /** Starts the next read or long poll if this process is a watcher and nothing else is going on. */
    fun resume(state: ProxyState): Step =
        if (state.configuration.store.phase == StorePhase.Idle() && Watchers.isWatcher(state)) {
            readRoot(state)
        } else {
            Step(state)
        }

    /** Ends the pause before the next try. */
    fun retry(state: ProxyState): Step =
        if (state.configuration.store.phase is StorePhase.Idle) {
            resume(state.withStore { copy(phase = StorePhase.Idle()) })
        } else {
            Step(state)
        }

    /** Handles the answer to a call of this part. */
    fun answered(state: ProxyState, call: PlatformCallNumber, answer: PlatformAnswer): Step =
        when (val phase = state.configuration.store.phase) {
            is StorePhase.Idle -> Step(state)
            is StorePhase.ReadingRoot -> if (phase.call == call) rootAnswered(state, phase, answer) else Step(state)
            is StorePhase.ReadingChunks ->
                if (call in phase.calls) follow(chunkReading.answered(state, phase, call, answer)) else Step(state)
            is StorePhase.WritingChunks ->
                if (call in phase.calls) follow(writeBack.chunkAnswered(state, phase, call, answer)) else Step(state)
            is StorePhase.WritingRoot ->
                if (call == phase.call) follow(writeBack.rootAnswered(state, answer)) else Step(state)
        }

    private fun readRoot(state: ProxyState): Step {
        val store = state.configuration.store
        val wait = state.settings.membership.watchWait.value
        val version = store.rootVersion
        // A store that stayed behind what is in effect is read at once instead of watched.
        val isBehind = store.generation < state.configuration.index.generation
        val request =
            if (version == null || isBehind) {
                PlatformCall.Get(ConfigurationCodec.ROOT_KEY)
            } else {
                PlatformCall.Watch(ConfigurationCodec.ROOT_KEY, version, wait)
            }
        val call = StoreCalls.start(state, request)
        val phase = StorePhase.ReadingRoot(call.number, context.now, isWatch = request is PlatformCall.Watch)
        return Step(call.state.withStore { copy(phase = phase) }, call.effects)
    }

    private fun rootAnswered(state: ProxyState, phase: StorePhase.ReadingRoot, answer: PlatformAnswer): Step =
        when (answer) {
            is PlatformAnswer.Found -> found(state, phase, answer)
            is PlatformAnswer.Missing -> compare(state, phase, ConfigurationRoot(0, emptyList()), version = 0)
            // A store that was restored from a backup may never reach a version that ends the long poll.
            is PlatformAnswer.Unchanged -> continueWatch(
                state.withStore { copy(failures = 0, rootVersion = null) },
                phase
            )
            else -> pause.afterFailure(state, "configuration root not read: $answer")
        }

    private fun found(state: ProxyState, phase: StorePhase.ReadingRoot, answer: PlatformAnswer.Found): Step =
        ConfigurationCodec.decodeRoot(answer.value).mapBoth(
            success = { compare(state, phase, it, answer.version) },
            failure = {
                pause.afterFailure(
                    state.withStore { copy(rootVersion = null) },
                    "configuration root not valid: $it"
                )
            },
        )

    private fun compare(
        state: ProxyState,
        phase: StorePhase.ReadingRoot,
        root: ConfigurationRoot,
        version: Long,
    ): Step {
        val read = state.withStore { copy(rootVersion = version, generation = root.generation, failures = 0) }
        val inEffect = state.configuration.index.generation
        val hasNewVersion = version != state.configuration.store.rootVersion
        return when {
            root.generation > inEffect -> follow(chunkReading.start(read, root))
            root.generation < inEffect -> follow(writeBack.start(read, version))
            StoreConflict.exists(state, root) ->
                continueWatch(read, phase, hasNewVersion).withEffects(StoreConflict.report(root))
            else -> continueWatch(read, phase, hasNewVersion)
        }
    }

    // A store that answers a long poll at once, for whatever reason, is not asked more than once a second.
    private fun continueWatch(state: ProxyState, phase: StorePhase.ReadingRoot, hasNewVersion: Boolean = false): Step {
        val endedEarly = phase.isWatch && !hasNewVersion && context.now - phase.startedAt < SHORTEST_WATCH
        return if (endedEarly) pause.schedule(state, SHORTEST_WATCH) else resume(state.idle())
    }

    private fun follow(progress: StoreProgress): Step =
        when (progress) {
            is StoreProgress.Continues -> progress.step
            is StoreProgress.Finished -> progress.step.then { resume(it.idle()) }
            is StoreProgress.Failed ->
                progress.step.then { pause.afterFailure(it.withStore { copy(rootVersion = null) }, progress.reason) }
        }

    private fun ProxyState.idle(): ProxyState = withStore { copy(phase = StorePhase.Idle()) }

    private companion object {
        val SHORTEST_WATCH = 1.seconds
    }
}
