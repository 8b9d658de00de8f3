package dev.hibiscusreach.runtime.http

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.model.Endpoint
import io.netty.channel.EventLoopGroup
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Makes HTTP calls over keep-alive connections, each with one call at a time. All calls run on one thread of [group],
 * so that the connections need no locks.
 */
internal class HttpCaller(
    private val group: EventLoopGroup,
    private val maximumResponseBytes: Int,
) : AutoCloseable {
    private val executor = group.next()
    private val idle = HashMap<Endpoint, ArrayDeque<HttpConnection>>()
    private val exchanges = HashMap<HttpConnection, Exchange>()

    private inner class Exchange(val call: HttpCall, val done: (HttpOutcome) -> Unit) {
        private val startedAt = System.nanoTime()
        private var timeout: Future<*>? = null
        private var ended = false
        var reused = false
        var connection: HttpConnection? = null

        val remainingMillis: Long
            get() = call.timeout.value - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)

        fun start() {
            timeout = executor.schedule(::timedOut, call.timeout.value, TimeUnit.MILLISECONDS)
        }

        fun end(outcome: HttpOutcome) {
            if (!ended) {
                ended = true
                timeout?.cancel(false)
                done(outcome)
            }
        }

        // Other connections to the endpoint may be as unresponsive as this one, so none of them is used again.
        private fun timedOut() {
            end(HttpOutcome.Failed(ConnectionFailure.TIMED_OUT))
            connection?.let { exchanges.remove(it)?.connection?.close() }
            idle.remove(call.endpoint)?.forEach(HttpConnection::close)
        }
    }

    /** Makes [call]; [done] is called once, within the call's timeout. */
    fun call(call: HttpCall, done: (HttpOutcome) -> Unit) {
        executor.execute {
            val exchange = Exchange(call, done)
            exchange.start()
            val connection = idle[call.endpoint]?.removeLastOrNull()
            if (connection == null) connect(exchange) else send(exchange, connection, reused = true)
        }
    }

    override fun close() {
        executor.execute {
            idle.values.flatten().forEach(HttpConnection::close)
            idle.clear()
            exchanges.keys.toList().forEach(HttpConnection::close)
        }
    }

    private fun connect(exchange: Exchange) {
        val connection = HttpConnection(exchange.call.endpoint, ConnectionListener())
        exchange.connection = connection
        exchanges[connection] = exchange
        val timeoutMillis = maxOf(1L, exchange.remainingMillis).toInt()
        connection.connect(executor, timeoutMillis, maximumResponseBytes)
    }

    private fun send(exchange: Exchange, connection: HttpConnection, reused: Boolean) {
        exchange.reused = reused
        exchange.connection = connection
        exchanges[connection] = exchange
        connection.send(exchange.call.message)
    }

    private fun keep(endpoint: Endpoint, connection: HttpConnection) {
        val connections = idle.getOrPut(endpoint) { ArrayDeque() }
        if (connections.size < MAXIMUM_IDLE) connections.addLast(connection) else connection.close()
    }

    private inner class ConnectionListener : HttpConnection.Listener {
        override fun connected(connection: HttpConnection) {
            val exchange = exchanges[connection]
            if (exchange == null) connection.close() else send(exchange, connection, reused = false)
        }

        override fun answered(connection: HttpConnection, answer: HttpOutcome.Answered, reusable: Boolean) {
            val exchange = exchanges.remove(connection)
            exchange?.end(answer)
            if (exchange != null && reusable) keep(exchange.call.endpoint, connection) else connection.close()
        }

        override fun closed(connection: HttpConnection, failure: ConnectionFailure) {
            idle.values.forEach { it.remove(connection) }
            val exchange = exchanges.remove(connection) ?: return
            // A server may close an idle connection at the moment at which it is used again.
            val stale = exchange.reused && exchange.call.repeatable
            if (stale && exchange.remainingMillis > 0) {
                exchange.reused = false
                connect(exchange)
            } else {
                exchange.end(HttpOutcome.Failed(failure))
            }
        }
    }

    private companion object {
        const val MAXIMUM_IDLE = 16
    }
}
