package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.Endpoint
import io.netty.channel.EventLoopGroup
import java.util.concurrent.TimeUnit

/**
 * An HTTP/1.1 client with a pool of keep-alive connections for each endpoint; calls are not pipelined. All calls run
 * on one thread of [group], so that the connections need no locks.
 */
class HttpClient(
    group: EventLoopGroup,
    private val maximumResponseBytes: Int,
    /** Bytes of a response that may be on their way; null for the system's default. */
    private val receiveBufferBytes: Int? = null,
) : HttpCaller,
    AutoCloseable {
    private val executor = group.next()
    private val destinations = HashMap<Endpoint, Destination>()

    override fun call(call: HttpCall, done: (HttpOutcome) -> Unit) {
        executor.execute {
            val destination = destinations.getOrPut(call.endpoint) { Destination(call.endpoint) }
            val exchange = HttpExchange(call, done)
            exchange.limitTime(executor, { destination.receivesLongAnswer }) { destination.timedOut(exchange) }
            destination.begin(exchange)
        }
    }

    override fun close() {
        executor.execute { destinations.values.forEach(Destination::closeAll) }
    }

    /** The connection pool of one endpoint. */
    private inner class Destination(private val endpoint: Endpoint) : HttpConnection.Listener {
        private val open = HashSet<HttpConnection>()
        private val idle = ArrayDeque<HttpConnection>()
        private val busy = HashMap<HttpConnection, HttpExchange>()
        private val waiting = ArrayDeque<HttpExchange>()

        fun begin(exchange: HttpExchange) {
            val connection = idle.removeLastOrNull()
            when {
                connection != null -> send(exchange, connection, reused = true)
                open.size < MAXIMUM_CONNECTIONS -> connect(exchange)
                else -> waiting.addLast(exchange)
            }
        }

        // Other connections to the endpoint may be as unresponsive as this one, so all idle ones are closed as well.
        fun timedOut(exchange: HttpExchange) {
            waiting.remove(exchange)
            val connection = busy.entries.find { it.value === exchange }?.key
            busy.remove(connection)
            connection?.close()
            idle.toList().forEach(HttpConnection::close)
            idle.clear()
            exchange.fail(ConnectionFailure.TIMED_OUT)
        }

        val receivesLongAnswer: Boolean get() = busy.values.any(HttpExchange::isReceivingLongAnswer)

        fun closeAll() = open.toList().forEach(HttpConnection::close)

        override fun connected(connection: HttpConnection) {
            val exchange = busy[connection]
            if (exchange == null) connection.close() else send(exchange, connection, reused = false)
        }

        override fun answered(connection: HttpConnection, answer: HttpOutcome.Answered, reusable: Boolean) {
            val exchange = busy.remove(connection)
            if (exchange != null && reusable) reuse(connection) else connection.close()
            exchange?.end(answer)
        }

        override fun closed(connection: HttpConnection, failure: ConnectionFailure) {
            open -= connection
            idle -= connection
            val exchange = busy.remove(connection)
            when {
                exchange == null -> Unit
                // The same request would have the same response on another connection.
                connection.receivedTooMuch -> exchange.end(HttpOutcome.TooLong(maximumResponseBytes))
                exchange.isRetryable -> connect(exchange)
                else -> exchange.fail(failure)
            }
            if (open.size < MAXIMUM_CONNECTIONS) waiting.removeFirstOrNull()?.let(::connect)
        }

        private fun connect(exchange: HttpExchange) {
            val connection = HttpConnection(endpoint, listener = this)
            exchange.reused = false
            open += connection
            busy[connection] = exchange
            connection.connect(executor, exchange.remainingMillis.toInt(), maximumResponseBytes, receiveBufferBytes)
        }

        private fun send(exchange: HttpExchange, connection: HttpConnection, reused: Boolean) {
            exchange.reused = reused
            connection.idleTimeout?.cancel(false)
            connection.onReceived = exchange::received
            busy[connection] = exchange
            connection.send(exchange.call.message, resetsOnClose = !exchange.call.mayArriveLate)
        }

        private fun keepIdle(connection: HttpConnection) {
            idle.addLast(connection)
            val expire = { if (idle.remove(connection)) connection.close() }
            connection.idleTimeout = executor.schedule(expire, IDLE_MILLIS, TimeUnit.MILLISECONDS)
        }

        private fun reuse(connection: HttpConnection) {
            val next = waiting.removeFirstOrNull()
            when {
                next != null -> send(next, connection, reused = true)
                idle.size < MAXIMUM_IDLE -> keepIdle(connection)
                else -> connection.close()
            }
        }
    }

    private companion object {
        /** Time after which an idle connection is closed, such as one to a server that left the inventory. */
        const val IDLE_MILLIS = 30_000L

        const val MAXIMUM_IDLE = 16

        /** Limits the connections to one endpoint when many calls wait for its responses. */
        const val MAXIMUM_CONNECTIONS = 64
    }
}
