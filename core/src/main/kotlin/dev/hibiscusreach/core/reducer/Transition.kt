package dev.hibiscusreach.core.reducer

import dev.hibiscusreach.core.event.Effect

/** The result of reducing one event. */
data class Transition(val state: ProxyState, val effects: List<Effect>)
