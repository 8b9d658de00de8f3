package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.standins.platform.ObjectStoreModel
import dev.hibiscusreach.standins.platform.PlatformReply
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Runs an [ObjectStoreModel] on one event loop and answers its watches. */
internal class PlatformLoop(val model: ObjectStoreModel, private val loop: EventLoop) {
    private val watches = HashMap<Long, (PlatformReply) -> Unit>()
    private var nextCall = 0L

    val now: Long get() = System.currentTimeMillis()

    /** Carries out [request]; [answer] is called now, or later if the number of a waiting watch is returned. */
    fun call(request: PlatformCall, answer: (PlatformReply) -> Unit): Long? {
        val call = nextCall++
        val reply = model.call(call, request, now)
        if (reply is PlatformReply.Waiting) {
            watches[call] = answer
            after((request as PlatformCall.Watch).waitMillis, ::answerWatches)
        } else {
            answer(reply)
        }
        answerWatches()
        return call.takeIf { it in watches }
    }

    /** Forgets the waiting watch of [call]. */
    fun cancel(call: Long) {
        model.cancelWatch(call)
        watches.remove(call)
    }

    /** Answers the watches that the latest change or fault completed. */
    fun answerWatches() =
        model.completedWatches(now).forEach { completed -> watches.remove(completed.call)?.invoke(completed.reply) }

    /** Runs [action] on the loop after [delayMillis], or now if that is 0. */
    fun after(delayMillis: Long, action: () -> Unit) {
        if (delayMillis <= 0) action() else loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS)
    }
}
