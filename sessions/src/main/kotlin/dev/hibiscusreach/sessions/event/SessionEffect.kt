package dev.hibiscusreach.sessions.event

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.model.SessionReply

/** Something that the reducer wants done outside. */
sealed interface SessionEffect {
    /** Accepts a session. */
    data class AcceptSession(val session: SessionNumber) : SessionEffect

    /** Refuses a session and closes its connection. */
    data class RefuseSession(val session: SessionNumber, val kind: ErrorKind, val message: String) : SessionEffect

    /** Answers the outstanding statement of a session. */
    data class Reply(val session: SessionNumber, val reply: SessionReply) : SessionEffect

    /** Closes a session; an outstanding statement gets no answer, which promises nothing about it. */
    data class CloseSession(val session: SessionNumber) : SessionEffect

    /** Connects to a server. */
    data class OpenConnection(val connection: ConnectionNumber, val server: RegisteredServer) : SessionEffect

    /** Closes a connection; no event follows. */
    data class CloseConnection(val connection: ConnectionNumber) : SessionEffect

    /** Sends statements; one answer follows for each, in order. */
    data class SendStatements(val connection: ConnectionNumber, val statements: List<ServerStatement>) : SessionEffect

    /** Reads all fleet records. */
    data object ReadFleet : SessionEffect

    /** Writes a record if it still has [expectedRevision]; null means that it must not exist. */
    data class WriteFleet(val key: FleetKey, val record: FleetRecord, val expectedRevision: Long?) : SessionEffect

    /** Deletes a record if it still has [expectedRevision]. */
    data class DeleteFleet(val key: FleetKey, val expectedRevision: Long) : SessionEffect

    /** Sends a request to a peer. */
    data class AskPeer(val peer: Endpoint, val request: PeerRequest) : SessionEffect

    /** Answers a peer's request. */
    data class AnswerPeer(val number: PeerRequestNumber, val answer: PeerAnswer) : SessionEffect

    /** Sends a command to a server on a connection of its own. */
    data class SendControl(val server: RegisteredServer, val command: ControlRequest) : SessionEffect

    /** Orders the platform to promote a server. [fencingToken] is higher than that of every earlier order. */
    data class Promote(val group: GroupName, val server: ServerName, val fencingToken: Long) : SessionEffect

    /** Subscribes [subject] to the time [delay] from now, in place of its earlier subscription. */
    data class StartTimer(val subject: TimerSubject, val delay: Millis) : SessionEffect

    /** Writes a log line. */
    data class Log(val level: LogLevel, val message: String, val fields: Map<String, Any?>) : SessionEffect

    /** Adds one to a counter. */
    data class Count(val counter: SessionCounter, val label: String) : SessionEffect

    /** Records how long a statement took. */
    data class Observe(val kind: String, val duration: Millis) : SessionEffect

    /** Accepts no more sessions; those that are open go on. */
    data object StopListening : SessionEffect

    /** Ends the process. */
    data object Exit : SessionEffect
}

/** The counters of the reducer. */
enum class SessionCounter(val metric: String, val label: String) {
    STATEMENTS("hibiscusreach.session.statements", "result"),
    RETRIES("hibiscusreach.session.retries", "reason"),
    READS("hibiscusreach.session.reads", "role"),
    CONNECTIONS("hibiscusreach.session.connections", "event"),
    PRIMARY_CHANGES("hibiscusreach.session.primary.changes", "event"),
}
