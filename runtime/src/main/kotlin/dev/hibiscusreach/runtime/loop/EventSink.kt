package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.Event

/** Accepts events for the reducer from any thread without blocking. */
interface EventSink {
    /** Whether the queue is so long that sources able to pause should do so (backpressure). */
    val isCongested: Boolean get() = false

    /** Queues [event]. */
    fun submit(event: Event)

    /** Drops every event, for clients whose answers go to callbacks. */
    data object Discarding : EventSink {
        override fun submit(event: Event) = Unit
    }
}
