package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.reducer.Part
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Carries requests from arrival to answer. */
internal class RequestsPart : Part {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step = Step(state)
}
