package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.reducer.Part
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Keeps the configuration in force and spreads it. */
internal class ConfigurationPart : Part {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step = Step(state)
}
