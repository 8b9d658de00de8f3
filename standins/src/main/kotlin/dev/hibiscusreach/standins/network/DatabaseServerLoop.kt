package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.standins.database.DatabaseServerModel
import dev.hibiscusreach.standins.database.ReplicationAnswer
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Runs a [DatabaseServerModel] on one event loop and answers its pending confirms. */
internal class DatabaseServerLoop(val model: DatabaseServerModel, private val loop: EventLoop) {
    private val confirms = HashMap<Long, (ControlAnswer) -> Unit>()
    private var nextCall = 0L

    /** Milliseconds since the epoch, so that records written by different primaries age by one clock. */
    val now: Long get() = System.currentTimeMillis()

    /** Carries out [command]; [answer] is called now or when a confirm completes. */
    fun control(command: ControlCommand, answer: (ControlAnswer) -> Unit) {
        val call = nextCall++
        val immediate = model.control(call, command, now)
        if (immediate == null) {
            confirms[call] = answer
            after((command as ControlCommand.Confirm).waitMillis, ::answerConfirms)
        } else {
            answer(immediate)
        }
        answerConfirms()
    }

    /** Applies a primary's entries. */
    fun replicate(answer: ReplicationAnswer) {
        model.replicate(answer)
        answerConfirms()
    }

    /** Answers the confirms that the latest change completed. */
    fun answerConfirms() =
        model.completedConfirms(now).forEach { completed -> confirms.remove(completed.call)?.invoke(completed.answer) }

    /** Runs [action] on the loop after [delayMillis], or now if that is 0. */
    fun after(delayMillis: Long, action: () -> Unit) {
        if (delayMillis <= 0) action() else loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS)
    }

    /** Runs [action] on the loop. */
    fun execute(action: () -> Unit) = loop.execute(action)
}
