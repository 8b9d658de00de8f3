package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey

/** Starts the graceful shutdown. */
internal fun Turn.startDrain() {
    if (slice.drainPhase == DrainPhase.SERVING) {
        advance(DrainPhase.LEAVING)
        startTimer(TimerKey.DrainStep, now + settings.request.leavingNotice)
    }
}

/** Handles the end of the current phase's time. */
internal fun Turn.drainStep() {
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
internal fun Turn.finishDrainIfIdle() {
    val idle = slice.pending.isEmpty() && slice.transactions.isEmpty()
    if (slice.drainPhase == DrainPhase.FINISHING && idle) advance(DrainPhase.FINISHED)
}

private fun Turn.advance(phase: DrainPhase) {
    slice = slice.copy(drainPhase = phase)
    signal(Signal.DrainAdvanced(phase))
}
