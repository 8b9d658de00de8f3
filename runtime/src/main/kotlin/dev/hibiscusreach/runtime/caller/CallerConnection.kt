package dev.hibiscusreach.runtime.caller

import com.github.michaelbull.result.fold
import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerAnswer.Refused
import io.netty.channel.ChannelHandlerContext

/** One connection of a caller: hands whole requests over and sends their answers. Runs on the channel's thread. */
internal class CallerConnection(private val endpoint: CallerEndpoint, private val context: ChannelHandlerContext) :
    RequestCollector.Listener,
    AnswerQueue.Listener {
    /** Joins the parts of the requests. */
    val collector = RequestCollector(endpoint.limits, endpoint.budget, listener = this)
    private val answers = AnswerQueue(context, endpoint.writer, listener = this)
    private var unsent = 0

    override val inputEnded: Boolean get() = collector.hasEnded || endpoint.isClosing

    override fun received(request: IncomingRequest) {
        val place = AnswerQueue.Place(request.size, request.keepAlive)
        add(place)
        if (!request.keepAlive) collector.end()
        val received = request.received()
        endpoint.reader.read(received).fold(
            success = { place.arrival = endpoint.arrived(this, it) },
            failure = { answers.fill(place, endpoint.reader.identifierOf(received), it) },
        )
    }

    override fun refused(refusal: Refused, size: Int) {
        val place = AnswerQueue.Place(size, keepAlive = false)
        add(place)
        answers.fill(place, identifier = null, refusal)
    }

    /** Sends the answer to the request of [arrival]; may be called on any thread. */
    fun answer(arrival: ArrivalNumber, identifier: String, answer: CallerAnswer) {
        context.channel().eventLoop().execute { answers.answer(arrival, identifier, answer) }
    }

    /** Closes the connection if nothing is in progress on it; may be called on any thread. */
    fun closeIfIdle() {
        context.channel().eventLoop().execute { if (unsent == 0 && !collector.isReceiving) context.close() }
    }

    override fun lastWritten() = collector.end()

    override fun sent(size: Int, last: Boolean) {
        unsent--
        endpoint.budget.release(size)
        if (last) {
            LingeringClose.begin(context.channel())
        } else if (unsent < endpoint.limits.maximumInFlight) {
            context.channel().config().isAutoRead = true
        }
    }

    /** The caller closed its sending side, or both; requests that arrived whole still get their answers. */
    fun inputShutDown() {
        if (collector.isReceiving) collector.interrupted() else collector.end()
        if (unsent == 0) context.close()
    }

    /** The connection is closed. */
    fun closed() {
        collector.end()
        endpoint.closed(this, answers.unanswered())
        endpoint.budget.release(answers.clear() + collector.clear())
    }

    private fun add(place: AnswerQueue.Place) {
        answers.add(place)
        unsent++
        if (unsent >= endpoint.limits.maximumInFlight) context.channel().config().isAutoRead = false
    }
}
