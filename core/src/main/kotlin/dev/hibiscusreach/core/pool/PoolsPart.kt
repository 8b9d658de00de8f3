package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.reducer.Part
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Owns the session connections to backend servers and the permits of callers. */
internal class PoolsPart : Part {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step = Step(state)
}
