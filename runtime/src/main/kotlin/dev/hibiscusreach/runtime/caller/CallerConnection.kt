package dev.hibiscusreach.runtime.caller

import com.github.michaelbull.result.fold
import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerAnswer.Refused
import io.netty.channel.ChannelHandlerContext

/**
 * One connection of a caller: submits complete requests and sends their answers. Runs on the channel's event loop,
 * except for the functions that say otherwise.
 */
internal class CallerConnection(private val endpoint: CallerEndpoint, private val context: ChannelHandlerContext) :
    RequestAggregator.Listener,
    AnswerQueue.Listener {
    /** Assembles requests from decoded HTTP messages. */
    val aggregator = RequestAggregator(endpoint.limits, endpoint.budget, listener = this)
    private val answers = AnswerQueue(context, endpoint.encoder, listener = this)
    private var unsent = 0

    override val hasUnsentAnswers: Boolean get() = unsent > 0

    override val inputEnded: Boolean get() = aggregator.hasEnded || endpoint.isClosing

    override fun received(request: IncomingRequest) {
        val entry = AnswerQueue.PendingAnswer(request.size, request.keepAlive)
        add(entry)
        if (!request.keepAlive) aggregator.end()
        val received = request.received()
        endpoint.reader.read(received).fold(
            success = { entry.arrival = endpoint.arrived(this, it) },
            failure = { answers.fill(entry, endpoint.reader.identifierOf(received), it) },
        )
    }

    override fun refused(refusal: Refused, size: Int) {
        val entry = AnswerQueue.PendingAnswer(size, keepAlive = false)
        add(entry)
        answers.fill(entry, identifier = null, refusal)
    }

    /** Sends the answer to the request [arrival]; may be called on any thread. */
    fun answer(arrival: ArrivalNumber, identifier: String, answer: CallerAnswer) {
        context.channel().eventLoop().execute { answers.answer(arrival, identifier, answer) }
    }

    /** Closes the connection if nothing is in progress on it; may be called on any thread. */
    fun closeIfIdle() {
        context.channel().eventLoop().execute { if (unsent == 0 && !aggregator.isReceiving) context.close() }
    }

    override fun lastWritten() = aggregator.end()

    override fun sent(size: Int, last: Boolean) {
        unsent--
        endpoint.budget.release(size)
        if (last) {
            LingeringClose.begin(context.channel())
        } else if (unsent < endpoint.limits.maximumInFlight) {
            context.channel().config().isAutoRead = true
        }
    }

    /** Handles the end of the caller's input; requests that were received completely still get their answers. */
    fun inputShutDown() {
        if (aggregator.isReceiving) aggregator.requestIncomplete() else aggregator.end()
        if (unsent == 0) context.close()
    }

    /** Reports unanswered requests as disconnected and releases their memory once the channel is closed. */
    fun closed() {
        aggregator.end()
        endpoint.closed(this, answers.unanswered())
        endpoint.budget.release(answers.clear() + aggregator.clear())
    }

    private fun add(entry: AnswerQueue.PendingAnswer) {
        answers.add(entry)
        unsent++
        if (unsent >= endpoint.limits.maximumInFlight) context.channel().config().isAutoRead = false
    }
}
