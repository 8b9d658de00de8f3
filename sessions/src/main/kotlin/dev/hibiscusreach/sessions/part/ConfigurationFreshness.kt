package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.SessionEvent

/** Tracks how long ago the store was known to have no newer version of the configuration. */
internal object ConfigurationFreshness {
    /** Records a completed read. A read through a peer may be older than the latest direct one. */
    fun confirmed(reduction: Reduction, event: SessionEvent.ConfigurationConfirmed) {
        val known = reduction.state.configurationConfirmedAt
        reduction.state = reduction.state.copy(configurationConfirmedAt = maxOf(event.readAt, known ?: event.readAt))
    }

    /** Age of what is known of the configuration; null before the first read. */
    fun age(reduction: Reduction): Millis? =
        reduction.state.configurationConfirmedAt?.let { reduction.now - it }
}
