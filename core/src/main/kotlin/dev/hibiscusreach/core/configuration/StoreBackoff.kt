package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Delays calls to the platform's store at the start, after failures and after long polls that end early. */
internal class StoreBackoff(private val context: StepContext) {
    /** Delays the first read until the seeds have answered, so that processes started together are not all watchers. */
    fun beforeFirstRead(state: ProxyState): Step {
        val jitter = context.randomFor("first read").nextLong(FIRST_READ_DELAY.value)
        return schedule(state, FIRST_READ_DELAY + Millis(jitter))
    }

    /** Backs off exponentially after consecutive failures, with jitter so that watchers do not retry all at once. */
    fun afterFailure(state: ProxyState, reason: String): Step {
        val failures = state.configuration.store.failures
        val doubled = FIRST_RETRY_DELAY.value shl minOf(failures, MAXIMUM_DOUBLINGS)
        val jitter = context.randomFor("retry").nextLong(doubled)
        val log = Effect.Log(LogLevel.WARN, reason, mapOf("failures" to (failures + 1).toString()))
        return schedule(state.withStore { copy(failures = failures + 1) }, Millis(doubled + jitter)).withEffects(log)
    }

    /** Schedules the next call after [delay]. */
    fun schedule(state: ProxyState, delay: Millis): Step =
        Step(
            state.withStore { copy(phase = StorePhase.Idle(retryScheduled = true)) },
            listOf(Effect.StartTimer(TimerKey.WatchRetry, delay)),
        )

    private companion object {
        val FIRST_READ_DELAY = 300.milliseconds
        val FIRST_RETRY_DELAY = 250.milliseconds

        /** Limits the delay to 2 to 4 s, so that a change takes effect within seconds after an outage. */
        const val MAXIMUM_DOUBLINGS = 3
    }
}
