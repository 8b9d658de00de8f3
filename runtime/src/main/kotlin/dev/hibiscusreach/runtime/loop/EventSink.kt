package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.Event

/** Takes events for the reducer, from any thread, without blocking. */
fun interface EventSink {
    /** Queues [event]. */
    fun submit(event: Event)

    /** Whether so many events wait that sources which can wait should do so. */
    val isCongested: Boolean get() = false
}
