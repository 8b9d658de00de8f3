package dev.hibiscusreach.runtime.adapter

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Effect

/** Sends answers to callers, never interleaved and in request order per connection. */
fun interface CallerAnswers {
    /** Sends the answer; does nothing if the caller has disconnected. */
    fun answer(effect: Effect.AnswerCaller)
}

/** Session connections to backend servers. */
interface ServerSessions : AutoCloseable {
    /** Connections that are open or being opened. */
    val connectionCount: Int

    /** Opens a connection; exactly one of `ConnectionOpened` and `ConnectionOpenFailed` follows unless it is closed. */
    fun open(effect: Effect.OpenConnection)

    /** Closes a connection; no event follows. */
    fun close(connection: ConnectionNumber)

    /** Sends a command; `SessionAnswered` or `ConnectionClosed` follows. */
    fun send(effect: Effect.SendSessionCommand)
}

/** Control commands to backend servers. */
interface ServerControl : AutoCloseable {
    /** Sends a command; exactly one of `ControlAnswered` and `ControlFailed` follows within the timeout. */
    fun send(effect: Effect.SendControlCommand)
}

/** Calls to the platform. */
interface PlatformClient : AutoCloseable {
    /** Makes a call; exactly one `PlatformAnswered` follows within the timeout. */
    fun call(effect: Effect.CallPlatform)
}

/** Links to the other proxies. */
interface PeerLinks : AutoCloseable {
    /** Sends a message, or reports `PeerUnreachable`. */
    fun send(effect: Effect.SendPeerMessage)

    /** Connects to seeds of unknown identity; `PeerIntroduced` follows for each that answers. */
    fun contact(effect: Effect.ContactSeeds)
}

/** Log lines and counters. */
interface Telemetry {
    /** Writes a log line. */
    fun log(effect: Effect.Log)

    /** Adds to a counter. */
    fun count(effect: Effect.Count)
}

/** The adapters that execute the effects of the reducer. Each can be replaced on its own. */
class Adapters(
    val callers: CallerAnswers,
    val sessions: ServerSessions,
    val control: ServerControl,
    val platform: PlatformClient,
    val peers: PeerLinks,
    val telemetry: Telemetry,
)
