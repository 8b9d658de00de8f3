package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Event

/** Observes the event loop. Called on its thread, so implementations must not block. */
interface LoopListener {
    /** [event] was reduced in [nanos]. */
    fun reduced(event: Event, nanos: Long) = Unit

    /** The graceful shutdown reached [phase]. */
    fun drainAdvanced(phase: DrainPhase) = Unit

    /** The configuration of [generation] took effect in this process. */
    fun configurationChanged(generation: Long) = Unit
}
