package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.reducer.ProxyState

/** A started call: the state with its [number] allocated, and the effects that send it. */
internal data class StartedCall(val state: ProxyState, val number: PlatformCallNumber, val effects: List<Effect>)

/** Numbers, counts and starts calls to the platform's store. */
internal object StoreCalls {
    fun start(state: ProxyState, call: PlatformCall): StartedCall {
        val sequence = state.configuration.store.callCount + 1
        val number = PlatformCallNumber(PartName.CONFIGURATION, sequence)
        return StartedCall(
            state.withStore { copy(callCount = sequence) },
            number,
            listOf(
                Effect.CallPlatform(number, call, timeout(state, call)),
                Effect.Count(CounterName.PLATFORM_CALLS, label = label(call)),
            ),
        )
    }

    private fun timeout(state: ProxyState, call: PlatformCall): Millis {
        val callTimeout = state.settings.membership.platformTimeout
        return if (call is PlatformCall.Watch) callTimeout + Millis(call.waitMillis) else callTimeout
    }

    private fun label(call: PlatformCall): String =
        when (call) {
            is PlatformCall.Get -> "get"
            is PlatformCall.Put -> "put"
            is PlatformCall.Watch -> "watch"
            is PlatformCall.ListHosts -> "hosts"
        }
}
