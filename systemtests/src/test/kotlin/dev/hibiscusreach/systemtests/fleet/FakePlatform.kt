package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.standins.platform.ObjectStoreModel
import dev.hibiscusreach.standins.platform.PlatformReply

/** The platform's model behind a clock. */
class FakePlatform(private val schedule: Schedule) {
    /** The objects and the switches for failures. */
    val model = ObjectStoreModel()
    private val waiting = mutableMapOf<Long, (PlatformAnswer) -> Unit>()
    private var nextCall = 0L

    /** Carries [request] out; a lost answer never calls [reply]. */
    fun call(request: PlatformCall, reply: (PlatformAnswer) -> Unit) {
        val call = nextCall++
        when (val outcome = model.call(call, request, schedule.nowMillis)) {
            is PlatformReply.Waiting -> waiting[call] = reply
            else -> pass(outcome, reply)
        }
        completeWatches()
    }

    /** Answers the watches that are due. */
    fun completeWatches() =
        model.completedWatches(schedule.nowMillis).forEach { completed ->
            waiting.remove(completed.call)?.let { pass(completed.reply, it) }
        }

    private fun pass(reply: PlatformReply, receiver: (PlatformAnswer) -> Unit) {
        when (reply) {
            is PlatformReply.Answered -> schedule.afterMillis(reply.delayMillis) { receiver(reply.answer) }
            is PlatformReply.Unavailable -> receiver(PlatformAnswer.Failed("unavailable"))
            is PlatformReply.RateLimited -> receiver(PlatformAnswer.Failed("rate limited"))
            is PlatformReply.Lost, is PlatformReply.Waiting -> Unit
        }
    }
}
