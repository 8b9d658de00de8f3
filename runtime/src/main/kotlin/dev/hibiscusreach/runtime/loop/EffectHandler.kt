package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.runtime.adapter.Adapters

/** Dispatches each effect to the adapter that executes it. */
internal class EffectHandler(
    private val timers: TimerService,
    private val clock: ProxyClock,
    private val adapters: Adapters,
    private val onExit: () -> Unit,
) {
    fun handle(effect: Effect) {
        when (effect) {
            is Effect.StartTimer -> timers.start(effect.key, effect.delay, clock.now())
            is Effect.CancelTimer -> timers.cancel(effect.key)
            is Effect.AnswerCaller -> adapters.callers.answer(effect)
            is Effect.OpenConnection -> adapters.sessions.open(effect)
            is Effect.CloseConnection -> adapters.sessions.close(effect.connection)
            is Effect.SendSessionCommand -> adapters.sessions.send(effect)
            is Effect.SendControlCommand -> adapters.control.send(effect)
            is Effect.SendPeerMessage -> adapters.peers.send(effect)
            is Effect.ContactSeeds -> adapters.peers.contact(effect)
            is Effect.CallPlatform -> adapters.platform.call(effect)
            is Effect.Log -> adapters.telemetry.log(effect)
            is Effect.Count -> adapters.telemetry.count(effect)
            Effect.Exit -> onExit()
        }
    }
}
