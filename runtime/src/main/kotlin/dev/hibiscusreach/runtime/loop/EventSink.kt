package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.Event

/** Accepts events for the reducer from any thread without blocking. */
fun interface EventSink {
    /** Queues [event]. */
    fun submit(event: Event)

    /** Whether the queue is so long that sources able to pause should do so (backpressure). */
    val isCongested: Boolean get() = false
}
