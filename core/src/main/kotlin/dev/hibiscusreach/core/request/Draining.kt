package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey

/** Starts the graceful shutdown; a repeated call has no effect. */
internal fun StepBuilder.onDrainRequested() {
    if (slice.drainPhase == DrainPhase.SERVING) {
        enterDrainPhase(DrainPhase.LEAVING)
        startTimer(TimerKey.DrainStep, now + settings.request.leavingNotice)
    }
}

/** Advances the graceful shutdown when the time of its current phase has run out. */
internal fun StepBuilder.onDrainStep() {
    when (slice.drainPhase) {
        DrainPhase.SERVING, DrainPhase.FINISHED -> Unit

        DrainPhase.LEAVING -> {
            val end = now + settings.request.drainLimit
            enterDrainPhase(DrainPhase.FINISHING)
            slice = slice.copy(drainDeadline = end)
            startTimer(TimerKey.DrainStep, end)
            finishDrainIfIdle()
        }

        // Requests outside transactions are not interrupted; their deadlines bound the rest of the shutdown.
        DrainPhase.FINISHING ->
            slice.transactions.values
                .toList()
                .forEach { interruptTransaction(it, "this proxy is shutting down") }
    }
}

/** Completes the graceful shutdown once no request and no transaction is left. */
internal fun StepBuilder.finishDrainIfIdle() {
    val idle = slice.pending.isEmpty() && slice.transactions.isEmpty()
    if (slice.drainPhase == DrainPhase.FINISHING && idle) enterDrainPhase(DrainPhase.FINISHED)
}

private fun StepBuilder.progress(phase: DrainPhase): Map<String, String> =
    mapOf(
        "phase" to phase.name.lowercase(),
        "requests" to slice.pending.size.toString(),
        "transactions" to slice.transactions.size.toString(),
    )

private fun StepBuilder.enterDrainPhase(phase: DrainPhase) {
    slice = slice.copy(drainPhase = phase)
    signal(Signal.DrainPhaseChanged(phase))
    emit(Effect.Log(LogLevel.INFO, "graceful shutdown advanced", progress(phase)))
}
