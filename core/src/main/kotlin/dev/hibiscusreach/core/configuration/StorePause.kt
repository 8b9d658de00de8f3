package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Pauses between calls to the platform's store. */
internal class StorePause(private val context: StepContext) {
    /** Waits longer after each failure in a row, with jitter so that watchers do not return all at once. */
    fun afterFailure(state: ProxyState, reason: String): Step {
        val failures = state.configuration.store.failures
        val doubled = FIRST_RETRY.value shl minOf(failures, MAXIMUM_DOUBLINGS)
        val jitter = context.randomFor("retry").nextLong(doubled)
        val log = Effect.Log(LogLevel.WARN, reason, mapOf("failures" to (failures + 1).toString()))
        return schedule(state.withStore { copy(failures = failures + 1) }, Millis(doubled + jitter)).withEffects(log)
    }

    /** Waits [delay] before the next call. */
    fun schedule(state: ProxyState, delay: Millis): Step =
        Step(
            state.withStore { copy(phase = StorePhase.Idle(retryScheduled = true)) },
            listOf(Effect.StartTimer(TimerKey.WatchRetry, delay)),
        )

    private companion object {
        val FIRST_RETRY = 250.milliseconds

        /** The longest pause is 2 to 4 s, so that a change is in effect within seconds after an outage. */
        const val MAXIMUM_DOUBLINGS = 3
    }
}
