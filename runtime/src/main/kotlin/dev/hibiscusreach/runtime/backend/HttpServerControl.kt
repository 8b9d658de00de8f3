package dev.hibiscusreach.runtime.backend

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.runtime.adapter.ServerControl
import dev.hibiscusreach.runtime.http.HttpCall
import dev.hibiscusreach.runtime.http.HttpClient
import dev.hibiscusreach.runtime.http.HttpMessage
import dev.hibiscusreach.runtime.http.HttpOutcome
import dev.hibiscusreach.runtime.loop.EventSink
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.SerializationException

/** Sends control commands to backend servers as JSON over HTTP/1.1, on keep-alive connections. */
class HttpServerControl(group: EventLoopGroup, private val sink: EventSink) : ServerControl {
    private val client = HttpClient(group, MAXIMUM_RESPONSE_BYTES)

    override fun send(effect: Effect.SendControlCommand) {
        val body = ServerWire.json.encodeToString(ControlCommand.serializer(), effect.command)
        val call = HttpCall(effect.endpoint, HttpMessage("POST", "/control", body), effect.timeout)
        client.call(call) { sink.submit(event(effect, it)) }
    }

    override fun close() = client.close()

    private fun event(effect: Effect.SendControlCommand, outcome: HttpOutcome): Event =
        when (outcome) {
            is HttpOutcome.Failed -> Event.ControlFailed(effect.call, effect.server, outcome.failure)
            is HttpOutcome.TooLong -> Event.ControlFailed(effect.call, effect.server, ConnectionFailure.BROKEN)
            is HttpOutcome.Answered ->
                decode(outcome)
                    ?.let { Event.ControlAnswered(effect.call, effect.server, it) }
                    ?: Event.ControlFailed(effect.call, effect.server, ConnectionFailure.BROKEN)
        }

    private fun decode(outcome: HttpOutcome.Answered): ControlAnswer? =
        try {
            outcome
                .takeIf { it.status == ServerWire.STATUS_OK }
                ?.let { ServerWire.json.decodeFromString(ControlAnswer.serializer(), it.body) }
        } catch (failure: SerializationException) {
            ServerWire.log.warn("unreadable control answer: {}", failure.message?.lineSequence()?.first())
            null
        }

    private companion object {
        const val MAXIMUM_RESPONSE_BYTES = 64 * 1024
    }
}
