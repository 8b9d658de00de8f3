package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.reducer.Part
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Knows the health, terms and positions of the database groups and replaces failed primaries. */
internal class GroupsPart : Part {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step = Step(state)
}
