package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Keeps the configuration in force and spreads it. */
internal class ConfigurationPart : ReducerPart {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step =
        when (event) {
            is Event.Started -> StorePause(context).beforeFirstRead(state)
            is Event.TimerFired -> timerFired(state, event.key, context)
            is Event.PeerMessageReceived -> PeerExchange(context).received(state, event.from, event.message)
            is Event.PeerUnreachable -> PeerExchange(context).unreachable(state, event.peer)
            is Event.PlatformAnswered ->
                if (event.call.owner == PartName.CONFIGURATION) {
                    StoreWatch(context).answered(state, event.call, event.answer)
                } else {
                    Step(state)
                }
            is Signal.MembershipChanged -> StoreWatch(context).resume(state)
            else -> Step(state)
        }

    private fun timerFired(state: ProxyState, key: TimerKey, context: StepContext): Step =
        when (key) {
            is TimerKey.WatchRetry -> StoreWatch(context).retry(state)
            is TimerKey.ConfigurationPeriod -> PeerExchange(context).pullTimedOut(state)
            else -> Step(state)
        }
}
