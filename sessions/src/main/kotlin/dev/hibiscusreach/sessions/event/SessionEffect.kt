package dev.hibiscusreach.sessions.event

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.allowance.AllowanceGrant
import dev.hibiscusreach.sessions.allowance.AllowanceRequest
import dev.hibiscusreach.sessions.allowance.AllowanceRequestNumber
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.ForwardedAnswer
import dev.hibiscusreach.sessions.model.ForwardedStatement
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.PositionReport
import dev.hibiscusreach.sessions.model.PositionRequest
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.tenant.TenantName

/** A side effect that the process carries out after a reduction. */
sealed interface SessionEffect {
    /** Tells a caller that its session is open. */
    data class AcceptSession(val session: SessionNumber) : SessionEffect

    /** Refuses a session and closes its connection. */
    data class RefuseSession(val session: SessionNumber, val kind: ErrorKind, val message: String) : SessionEffect

    /** Answers the outstanding statement of a session. */
    data class Reply(val session: SessionNumber, val reply: SessionReply) : SessionEffect

    /** Forwards a statement of [session] to a home; its answer or the loss of the link follows as an event. */
    data class ForwardStatement(val session: SessionNumber, val home: Endpoint, val statement: ForwardedStatement) :
        SessionEffect

    /** Tells a home to roll back and forget what it holds for [session]; nothing follows. */
    data class EndForwarded(val session: SessionNumber, val home: Endpoint) : SessionEffect

    /** Answers the statement that a peer forwarded for [session]. */
    data class AnswerForwarded(val session: SessionNumber, val answer: ForwardedAnswer) : SessionEffect

    /** Asks an owner for tokens of a tenant's allowance; its answer or the loss of the link follows as an event. */
    data class RequestAllowance(val owner: Endpoint, val request: AllowanceRequest) : SessionEffect

    /** Answers a peer's request for tokens. */
    data class AnswerAllowance(val number: AllowanceRequestNumber, val grant: AllowanceGrant) : SessionEffect

    /** Closes a session after its caller's messages; statements among them still arrive as events. */
    data class CloseSession(val session: SessionNumber) : SessionEffect

    /** Closes a session at once. Its statements get no answer, so their outcomes stay unknown to the caller. */
    data class AbortSession(val session: SessionNumber) : SessionEffect

    /** Opens a connection; it is then reported as opened, refused or lost. */
    data class OpenConnection(
        val connection: ConnectionNumber,
        val server: RegisteredServer,
        /** The tenant for whose statements the connection is; null if it has none. */
        val tenant: TenantName? = null,
    ) : SessionEffect

    /** Closes a connection; no event follows. */
    data class CloseConnection(val connection: ConnectionNumber) : SessionEffect

    /** Sends statements; one answer follows for each, in order. */
    data class SendStatements(val connection: ConnectionNumber, val statements: List<ServerStatement>) : SessionEffect

    /** Reads the latest fleet records from the store itself, beside the reads that go on. */
    data object ReadFleet : SessionEffect

    /** Reads the latest configuration from the store itself, beside the reads that go on. */
    data object ReadConfiguration : SessionEffect

    /** Reads all of the configuration from the store itself, even if its watches report no change. */
    data object VerifyConfiguration : SessionEffect

    /** Reads the latest changes of the configuration through another reader than the usual one. */
    data class ConfirmConfiguration(val peer: Endpoint) : SessionEffect

    /** Reads the latest changes of the servers' entries from the store itself. */
    data object ReadServers : SessionEffect

    /**
     * Reads the store's objects through [peer] from now on, or from the store itself if it is null. A peer that is read
     * [promptly] tells at once that its own reads fail.
     */
    data class SelectStoreSource(val peer: Endpoint?, val promptly: Boolean = false) : SessionEffect

    /** Writes a record if it still has [expectedRevision]; null means that it must not exist. */
    data class WriteFleet(val key: FleetKey, val record: FleetRecord, val expectedRevision: Revision?) : SessionEffect

    /** Deletes a record if it still has [expectedRevision]. */
    data class DeleteFleet(val key: FleetKey, val expectedRevision: Revision) : SessionEffect

    /** Sends a request to a peer. */
    data class AskPeer(val peer: Endpoint, val request: PeerRequest) : SessionEffect

    /** Answers a peer's request. */
    data class AnswerPeer(val number: PeerRequestNumber, val answer: PeerAnswer) : SessionEffect

    /** Asks a home for the log position of a primary; there may be no answer. */
    data class RequestPosition(val home: Endpoint, val request: PositionRequest) : SessionEffect

    /** Answers a peer's request for a log position. */
    data class ReportPosition(val number: PositionRequestNumber, val report: PositionReport) : SessionEffect

    /** Sends a command to a server on a separate connection. */
    data class SendControl(val server: RegisteredServer, val command: ControlRequest) : SessionEffect

    /** Requests the promotion of a server from the platform. [fencingToken] is higher than in every earlier request. */
    data class Promote(val group: GroupName, val server: ServerName, val fencingToken: Long) : SessionEffect

    /** Starts the timer of [subject], which fires after [delay]; a timer of [subject] that is running is replaced. */
    data class StartTimer(val subject: TimerSubject, val delay: Millis) : SessionEffect

    /** Writes a log line. */
    data class Log(val level: LogLevel, val message: String, val fields: Map<String, Any?>) : SessionEffect

    /** Adds one to a counter. */
    data class Count(val counter: SessionCounter, val label: String) : SessionEffect

    /** Records how long a statement took. */
    data class Observe(val kind: String, val duration: Millis) : SessionEffect

    /** Stops accepting sessions; open sessions continue. */
    data object StopListening : SessionEffect

    /** Ends the process. */
    data object Exit : SessionEffect
}

/** Counters of the reducer, each with its metric name and the key of its label. */
enum class SessionCounter(val metric: String, val label: String) {
    STATEMENTS("hibiscusreach.session.statements", "result"),
    RETRIES("hibiscusreach.session.retries", "reason"),
    READS("hibiscusreach.session.reads", "role"),
    CONNECTIONS("hibiscusreach.session.connections", "event"),
    WAITS("hibiscusreach.session.waits", "event"),
    SERVER_SELECTION("hibiscusreach.session.server.selection", "event"),
    FORWARDS("hibiscusreach.session.forwards", "event"),
    CALLER_REFUSALS("hibiscusreach.session.caller.refusals", "reason"),
    LIMITS("hibiscusreach.caller.limits", "reason"),
    STORE_RESTORATIONS("hibiscusreach.session.store.restorations", "event"),
    ALLOWANCE_REQUESTS("hibiscusreach.session.allowance.requests", "event"),
    ALLOWANCE_TOKENS("hibiscusreach.session.allowance.tokens", "event"),
    ALLOWANCE_REFUSALS("hibiscusreach.session.allowance.refusals", "reason"),
    PRIMARY_CHANGES("hibiscusreach.session.primary.changes", "event"),
}
