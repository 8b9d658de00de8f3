package dev.hibiscusreach.runtime

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.runtime.loop.EventSink
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Records the events that adapters submit. */
internal class RecordingSink : EventSink {
    val events = LinkedBlockingQueue<Event>()

    /** Called with each event. */
    @Volatile
    var listener: (Event) -> Unit = {}

    override fun submit(event: Event) {
        events += event
        listener(event)
    }

    /** The next event, which must be a [T]. */
    inline fun <reified T : Event> next(): T {
        val event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS)
        check(event is T) { "expected ${T::class.simpleName}, got $event" }
        return event
    }

    /** Whether no event arrives for a short time. */
    fun staysSilent(): Boolean = events.poll(SILENCE_MILLIS, TimeUnit.MILLISECONDS) == null

    companion object {
        const val WAIT_SECONDS = 5L
        const val SILENCE_MILLIS = 200L
    }
}
