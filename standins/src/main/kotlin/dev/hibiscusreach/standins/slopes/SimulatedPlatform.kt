package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.configuration.ConfigurationCodec
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.standins.platform.CallKind
import dev.hibiscusreach.standins.platform.ObjectStoreModel
import dev.hibiscusreach.standins.platform.PlatformReply

/** The platform of a simulated fleet. */
internal class SimulatedPlatform(private val time: SimulatedTime) {
    private val model = ObjectStoreModel()
    private val watchers = mutableMapOf<Long, (PlatformAnswer) -> Unit>()
    private var nextCall = 0L

    /** Calls since the start, by kind. */
    val counts: Map<CallKind, Long> get() = model.callCounts

    fun call(proxy: SimulatedProxy, effect: Effect.CallPlatform) {
        val call = nextCall++
        val reply = { answer: PlatformAnswer ->
            time.after(ROUND_TRIP_MICROS) { proxy.deliver(Event.PlatformAnswered(effect.call, answer)) }
        }
        val outcome = model.call(call, effect.request, time.nowMillis)
        if (outcome is PlatformReply.Waiting) watchers[call] = reply else pass(outcome, reply)
        completeWatches()
    }

    /** Stores [configuration] as an operator's edit does. */
    fun publish(configuration: Configuration) {
        val encoded = ConfigurationCodec.encode(configuration, listOf("change-${configuration.generation}"))
        encoded.chunks.forEach { (hash, chunk) -> model.overwrite(ConfigurationCodec.chunkKey(hash), chunk) }
        model.overwrite(ConfigurationCodec.ROOT_KEY, ConfigurationCodec.encodeRoot(encoded.root))
        completeWatches()
    }

    /** Answers the watches that are due. */
    fun completeWatches() =
        model.completedWatches(time.nowMillis).forEach { done ->
            watchers.remove(done.call)?.let { pass(done.reply, it) }
        }

    private fun pass(reply: PlatformReply, receiver: (PlatformAnswer) -> Unit) =
        when (reply) {
            is PlatformReply.Answered -> receiver(reply.answer)
            is PlatformReply.Unavailable, is PlatformReply.RateLimited, is PlatformReply.Lost,
            is PlatformReply.Waiting,
            -> receiver(PlatformAnswer.Failed("unavailable"))
        }

    private companion object {
        const val ROUND_TRIP_MICROS = 10_000L
    }
}
