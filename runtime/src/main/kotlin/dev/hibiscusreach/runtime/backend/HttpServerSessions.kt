package dev.hibiscusreach.runtime.backend

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.SessionRequest
import dev.hibiscusreach.core.event.SessionResponse
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.runtime.adapter.ServerSessions
import dev.hibiscusreach.runtime.http.HttpConnection
import dev.hibiscusreach.runtime.http.HttpMessage
import dev.hibiscusreach.runtime.http.HttpOutcome
import dev.hibiscusreach.runtime.loop.EventSink
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.SerializationException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Future

/** Session connections to backend servers: JSON over HTTP/1.1, one TCP connection for each [ConnectionNumber]. */
class HttpServerSessions(
    private val group: EventLoopGroup,
    private val sink: EventSink,
    private val limits: SessionLimits = SessionLimits(),
) : ServerSessions {
    private val sessions = ConcurrentHashMap<ConnectionNumber, Session>()

    override val connectionCount: Int get() = sessions.size

    override fun open(effect: Effect.OpenConnection) {
        val session = Session(effect.connection)
        sessions[effect.connection] = session
        session.connection = HttpConnection(effect.endpoint, session)
        session.connection.connect(group, limits.openTimeout.value.toInt(), limits.maximumResponseBytes)
    }

    override fun close(connection: ConnectionNumber) {
        sessions.remove(connection)?.connection?.close()
    }

    override fun send(effect: Effect.SendSessionCommand) {
        val session = sessions[effect.connection]
        val request = SessionRequest(effect.attempt, effect.command)
        session?.send(ServerWire.json.encodeToString(SessionRequest.serializer(), request))
    }

    override fun close() {
        sessions.keys.toList().forEach(::close)
    }

    private inner class Session(private val number: ConnectionNumber) : HttpConnection.Listener {
        lateinit var connection: HttpConnection
        private var opened = false
        private var deadline: Future<*>? = null

        override fun connected(connection: HttpConnection) {
            if (sessions.containsKey(number)) {
                startDeadline(limits.openTimeout)
                connection.send(HttpMessage("GET", PATH))
            } else {
                connection.close()
            }
        }

        fun send(body: String) =
            connection.execute {
                startDeadline(limits.answerTimeout)
                connection.send(HttpMessage("POST", PATH, body))
            }

        override fun answered(connection: HttpConnection, answer: HttpOutcome.Answered, reusable: Boolean) {
            deadline?.cancel(false)
            if (opened) commandAnswered(answer) else openAnswered(answer)
            if (!reusable) connection.close()
        }

        override fun closed(connection: HttpConnection, failure: ConnectionFailure) {
            deadline?.cancel(false)
            end(if (opened) Event.ConnectionClosed(number) else Event.ConnectionOpenFailed(number, failure))
        }

        private fun openAnswered(answer: HttpOutcome.Answered) {
            when (answer.status) {
                ServerWire.STATUS_OK -> {
                    opened = true
                    sink.submit(Event.ConnectionOpened(number))
                }
                ServerWire.STATUS_UNAVAILABLE -> fail(ConnectionFailure.LIMIT_REACHED)
                else -> fail(ConnectionFailure.BROKEN)
            }
        }

        private fun commandAnswered(answer: HttpOutcome.Answered) {
            val response = decode(answer)
            if (response == null) {
                end(Event.ConnectionClosed(number))
                connection.close()
            } else if (sessions.containsKey(number)) {
                sink.submit(Event.SessionAnswered(number, response.attempt, response.answer))
            }
        }

        private fun fail(failure: ConnectionFailure) {
            end(Event.ConnectionOpenFailed(number, failure))
            connection.close()
        }

        // The reducer expects no event for a connection that it closed, which is no longer in the map.
        private fun end(event: Event) {
            if (sessions.remove(number) != null) sink.submit(event)
        }

        private fun startDeadline(limit: Millis) {
            deadline?.cancel(false)
            deadline = connection.schedule(limit, ::timedOut)
        }

        private fun timedOut() {
            if (opened) end(Event.ConnectionClosed(number)) else fail(ConnectionFailure.TIMED_OUT)
            connection.close()
        }
    }

    private fun decode(answer: HttpOutcome.Answered): SessionResponse? =
        try {
            answer
                .takeIf { it.status == ServerWire.STATUS_OK }
                ?.let { ServerWire.json.decodeFromString(SessionResponse.serializer(), it.body) }
        } catch (failure: SerializationException) {
            ServerWire.log.warn("unreadable session answer: {}", failure.message?.lineSequence()?.first())
            null
        }

    private companion object {
        const val PATH = "/session"
    }
}
