package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey

/** Starts the graceful shutdown. */
internal fun StepBuilder.startDrain() {
    if (slice.drainPhase == DrainPhase.SERVING) {
        advance(DrainPhase.LEAVING)
        startTimer(TimerKey.DrainStep, now + settings.request.leavingNotice)
    }
}

/** Handles the end of the current phase's time. */
internal fun StepBuilder.drainStep() {
    when (slice.drainPhase) {
        DrainPhase.SERVING, DrainPhase.FINISHED -> Unit

        DrainPhase.LEAVING -> {
            val end = now + settings.request.drainLimit
            advance(DrainPhase.FINISHING)
            slice = slice.copy(transactionsEndAt = end)
            startTimer(TimerKey.DrainStep, end)
            finishDrainIfIdle()
        }

        // Requests outside transactions are not interrupted; their deadlines bound the rest of the shutdown.
        DrainPhase.FINISHING ->
            slice.transactions.values
                .toList()
                .forEach { interrupt(it, "this proxy is shutting down") }
    }
}

/** Ends the shutdown once nothing is left to finish. */
internal fun StepBuilder.finishDrainIfIdle() {
    val idle = slice.pending.isEmpty() && slice.transactions.isEmpty()
    if (slice.drainPhase == DrainPhase.FINISHING && idle) advance(DrainPhase.FINISHED)
}

private fun StepBuilder.progress(phase: DrainPhase): Map<String, String> =
    mapOf(
        "phase" to phase.name.lowercase(),
        "requests" to slice.pending.size.toString(),
        "transactions" to slice.transactions.size.toString(),
    )

private fun StepBuilder.advance(phase: DrainPhase) {
    slice = slice.copy(drainPhase = phase)
    signal(Signal.DrainPhaseChanged(phase))
    emit(Effect.Log(LogLevel.INFO, "graceful shutdown advanced", progress(phase)))
}
