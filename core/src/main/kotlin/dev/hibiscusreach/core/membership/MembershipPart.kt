package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.reducer.Part
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Knows which proxies are alive, draining or gone. */
internal class MembershipPart : Part {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step = Step(state)
}
