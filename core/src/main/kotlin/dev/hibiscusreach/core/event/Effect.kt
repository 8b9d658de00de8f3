package dev.hibiscusreach.core.event

import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.ServerName

/** A side effect that the reducer requests from the runtime. */
sealed interface Effect {
    /** Fires [Event.TimerFired] after [delay]. Replaces a running timer with the same key. */
    data class StartTimer(val key: TimerKey, val delay: Millis) : Effect

    /** Stops a timer; does nothing if it is not running. */
    data class CancelTimer(val key: TimerKey) : Effect

    /** Sends the complete answer to the caller that made the request. */
    data class AnswerCaller(
        val arrival: ArrivalNumber,
        val identifier: RequestIdentifier,
        val answer: CallerAnswer,
    ) : Effect

    /** Opens a session connection. */
    data class OpenConnection(val connection: ConnectionNumber, val server: ServerName, val endpoint: Endpoint) : Effect

    /** Closes a session connection; no event follows. */
    data class CloseConnection(val connection: ConnectionNumber) : Effect

    /** Sends a command on a session connection. */
    data class SendSessionCommand(
        val connection: ConnectionNumber,
        val attempt: AttemptNumber,
        val command: SessionCommand,
    ) : Effect

    /** Sends a command to a server's control endpoint. Exactly one answer or failure follows, within [timeout]. */
    data class SendControlCommand(
        val call: ControlCallNumber,
        val server: ServerName,
        val endpoint: Endpoint,
        val command: ControlCommand,
        val timeout: Millis,
    ) : Effect

    /** Sends a message to a peer. May fail with [Event.PeerUnreachable]. */
    data class SendPeerMessage(val to: NodeIdentity, val message: PeerMessage) : Effect

    /** Connects to seed addresses of unknown processes. [Event.PeerIntroduced] follows for each that answers. */
    data class ContactSeeds(val endpoints: List<Endpoint>) : Effect

    /** Calls the platform. Exactly one [Event.PlatformAnswered] follows, within [timeout]. */
    data class CallPlatform(val call: PlatformCallNumber, val request: PlatformCall, val timeout: Millis) : Effect

    /** Writes a log line. */
    data class Log(val level: LogLevel, val message: String, val fields: Map<String, String> = emptyMap()) : Effect

    /** Adds [amount] to a counter. */
    data class Count(val counter: CounterName, val amount: Long = 1, val label: String = "") : Effect

    /** Lets the process exit; the graceful shutdown is complete. */
    data object Exit : Effect
}

/** Level of a log line. */
enum class LogLevel { DEBUG, INFO, WARN, ERROR }

/** Counters that the reducer increments, with the metric name and the name of its label. */
enum class CounterName(val metric: String, val label: String) {
    READS_BY_ROLE("hibiscusreach.reads", "role"),
    REQUESTS_BY_RESULT("hibiscusreach.requests", "result"),
    RETRIES("hibiscusreach.retries", "reason"),
    CONNECTIONS_OPENED("hibiscusreach.connections.opened", "server"),
    CONNECTIONS_REFUSED("hibiscusreach.connections.refused", "server"),
    FORWARDED_REQUESTS("hibiscusreach.forwarded.requests", "domain"),
    PROMOTIONS("hibiscusreach.promotions", "database"),
    PLATFORM_CALLS("hibiscusreach.platform.calls", "call"),
    CONFIGURATION_CHANGES("hibiscusreach.configuration.changes", "source"),
    PEERS_LOST("hibiscusreach.peers.lost", "domain"),
    DISCARDED_ANSWERS("hibiscusreach.answers.discarded", "reason"),
}
