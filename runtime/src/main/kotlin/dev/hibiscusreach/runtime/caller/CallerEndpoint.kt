package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.runtime.adapter.CallerAnswers
import dev.hibiscusreach.runtime.http.SocketListener
import dev.hibiscusreach.runtime.loop.EventSink
import dev.hibiscusreach.runtime.loop.LoopListener
import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Observes answered requests, such as for metrics. */
fun interface RequestObserver {
    /** Called when [answer] is given, [nanos] nanoseconds after the request's arrival. */
    fun answered(answer: CallerAnswer, nanos: Long)
}

/** The HTTP endpoint for callers: submits their requests as events and routes the answers to the connections. */
class CallerEndpoint(
    private val sink: EventSink,
    signer: TokenSigner,
    internal val limits: CallerLimits,
    private val observer: RequestObserver,
) : CallerAnswers,
    LoopListener,
    AutoCloseable {
    private class Waiting(val connection: CallerConnection, val since: Long)

    internal val reader = RequestReader(signer)
    internal val encoder = AnswerEncoder(signer)
    internal val budget = ByteBudget(limits.maximumBufferedBytes)
    private val arrivals = AtomicLong()
    private val waiting = ConcurrentHashMap<ArrivalNumber, Waiting>()
    private val connections: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()
    private var listener: Channel? = null

    /** Whether connections close after their next answer. */
    @Volatile
    internal var isClosing = false
        private set

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    /** Number of requests without an answer. */
    val requestsInFlight: Int get() = waiting.size

    /** Listens at [address]; returns the address with its actual port. */
    fun bind(group: EventLoopGroup, address: Endpoint): Endpoint {
        val channel = SocketListener.bind(group, address, CallerPipeline(this))
        listener = channel
        return SocketListener.endpoint(channel)
    }

    override fun answer(effect: Effect.AnswerCaller) {
        val request = waiting.remove(effect.arrival) ?: return
        observer.answered(effect.answer, System.nanoTime() - request.since)
        request.connection.answer(effect.arrival, effect.identifier.value, effect.answer)
    }

    // While the load balancer may still open connections, connections close only after their next answer. Idle ones
    // are closed later, once it has had time to detect that this proxy is leaving.
    override fun drainAdvanced(phase: DrainPhase) {
        if (phase != DrainPhase.SERVING) isClosing = true
        if (phase >= DrainPhase.FINISHING) connections.forEach(CallerConnection::closeIfIdle)
    }

    /** Stops listening and closes connections as they become idle; returns after 2 s at the latest. */
    override fun close() {
        isClosing = true
        listener?.close()?.syncUninterruptibly()
        val deadline = System.nanoTime() + CLOSE_TIMEOUT_NANOS
        while (connections.isNotEmpty() && System.nanoTime() < deadline) {
            connections.forEach(CallerConnection::closeIfIdle)
            Thread.sleep(CLOSE_POLL_MILLIS)
        }
    }

    /** Whether the connection limit allows another connection. */
    internal val acceptsConnections: Boolean get() = connections.size < limits.maximumConnections

    internal fun opened(connection: CallerConnection) {
        connections.add(connection)
    }

    internal fun arrived(connection: CallerConnection, request: CallerRequest): ArrivalNumber {
        val arrival = ArrivalNumber(arrivals.incrementAndGet())
        waiting[arrival] = Waiting(connection, System.nanoTime())
        sink.submit(Event.RequestArrived(arrival, request))
        return arrival
    }

    internal fun closed(connection: CallerConnection, unanswered: List<ArrivalNumber>) {
        connections.remove(connection)
        unanswered.forEach {
            waiting.remove(it)
            sink.submit(Event.CallerDisconnected(it))
        }
    }

    private companion object {
        const val CLOSE_TIMEOUT_NANOS = 2_000_000_000L
        const val CLOSE_POLL_MILLIS = 20L
    }
}
