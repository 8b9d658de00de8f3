package dev.hibiscusreach.sessions.event

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.allowance.AllowanceGrant
import dev.hibiscusreach.sessions.allowance.AllowanceRequest
import dev.hibiscusreach.sessions.allowance.AllowanceRequestNumber
import dev.hibiscusreach.sessions.model.CallerStatement
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
import dev.hibiscusreach.sessions.model.RoutingConfiguration
import dev.hibiscusreach.sessions.model.ServerAnswer
import dev.hibiscusreach.sessions.model.ServerFailure
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.model.StoredRecord
import dev.hibiscusreach.sessions.state.TenantSettings
import dev.hibiscusreach.sessions.tenant.ApiKey

/** One caller session; unique within a process and never reused. */
@JvmInline
value class SessionNumber(val value: Long)

/** One request of a peer that waits for an answer; unique within a process. */
@JvmInline
value class PeerRequestNumber(val value: Long)

/** One request of a peer for a log position; unique within a process. */
@JvmInline
value class PositionRequestNumber(val value: Long)

/** What a timer is for; there is at most one running timer for each subject. */
enum class TimerSubject {
    /** Deadlines of statements and transactions. */
    REQUESTS,

    /** Checks of servers, peers and primaries, and the progress of changes of primaries. */
    GROUPS,
}

/** An input of the reducer. */
sealed interface SessionEvent {
    /** The process has started. */
    data object Started : SessionEvent

    /** A caller asks for a session. */
    data class SessionRequested(
        val session: SessionNumber,
        val database: DatabaseName,
        /** Null if the caller sent none. */
        val key: ApiKey? = null,
        /** The address of the caller; null if it is not known. */
        val origin: String? = null,
    ) : SessionEvent

    /** A caller sent a statement; its previous one has been answered. */
    data class StatementArrived(
        val session: SessionNumber,
        val identifier: String,
        val statement: CallerStatement,
        /** Time for which the statement waited at the proxy that forwarded it. */
        val waited: Millis = Millis(0),
    ) : SessionEvent

    /** A peer forwarded a statement; its previous one in the same session has been answered. */
    data class StatementForwarded(val session: SessionNumber, val statement: ForwardedStatement) : SessionEvent

    /** A home answered the statement [identifier] that was forwarded for [session]. */
    data class ForwardAnswered(
        val session: SessionNumber,
        val home: Endpoint,
        val identifier: String,
        val answer: ForwardedAnswer,
    ) : SessionEvent

    /** The link to a home or owner failed. Unless it was [connected], nothing unanswered has reached the peer. */
    data class HomeLinkLost(val home: Endpoint, val connected: Boolean) : SessionEvent

    /** A peer asked for tokens of a tenant's allowance, which needs an answer. */
    data class AllowanceRequested(val number: AllowanceRequestNumber, val request: AllowanceRequest) : SessionEvent

    /** An owner answered a request for tokens; if its link is lost instead, [HomeLinkLost] is reported. */
    data class AllowanceAnswered(val owner: Endpoint, val grant: AllowanceGrant) : SessionEvent

    /** A session's connection, or the link through which its statements are forwarded, has ended. */
    data class SessionEnded(val session: SessionNumber) : SessionEvent

    /** A server accepted a connection. */
    data class ConnectionOpened(val connection: ConnectionNumber) : SessionEvent

    /** A server refused a connection with a reason. */
    data class ConnectionRefused(val connection: ConnectionNumber, val failure: ServerFailure) : SessionEvent

    /** A connection broke or could not be established. */
    data class ConnectionLost(val connection: ConnectionNumber, val failure: ConnectionFailure) : SessionEvent

    /** A server answered the oldest outstanding statement of a connection. */
    data class ServerAnswered(val connection: ConnectionNumber, val answer: ServerAnswer) : SessionEvent

    /** The operators' configuration was read. */
    data class ConfigurationRead(val configuration: RoutingConfiguration) : SessionEvent

    /** A read that was sent at [readAt], by this proxy or a peer, has shown the latest configuration. */
    data class ConfigurationConfirmed(val readAt: MonotonicTime) : SessionEvent

    /**
     * The store has answered, but its answer cannot be used for [reason]; which version of the configuration is in
     * force is not known.
     */
    data class ConfigurationUnusable(val reason: String) : SessionEvent

    /** The list of registered servers was read or has changed. */
    data class ServersRead(val servers: Map<ServerName, RegisteredServer>) : SessionEvent

    /** The fleet's records were read with a call to the store that was sent at [sentAt], by this proxy or a peer. */
    data class FleetRead(
        val sentAt: MonotonicTime,
        val records: Map<FleetKey, StoredRecord>,
        /** Number of the store's era; 0 if the store does not name it. */
        val era: Long,
    ) : SessionEvent

    /** The fleet's records could not be read. */
    data class FleetReadFailed(val reason: String) : SessionEvent

    /** A write of [record], or a deletion if it is null, has ended. */
    data class FleetWritten(val key: FleetKey, val outcome: WriteOutcome, val record: FleetRecord? = null) :
        SessionEvent

    /** A peer sent a request, which needs an answer. */
    data class PeerAsked(val number: PeerRequestNumber, val request: PeerRequest) : SessionEvent

    /** A request to a peer was answered or failed. */
    data class PeerAnswered(val peer: Endpoint, val request: PeerRequest, val outcome: PeerOutcome) : SessionEvent

    /** A control command to a server has ended. [status] is null if it failed. */
    data class ControlAnswered(val server: ServerName, val command: ControlRequest, val status: ServerStatus?) :
        SessionEvent

    /** The platform answered a promotion request. */
    data class PromotionAnswered(val group: GroupName, val server: ServerName, val outcome: PromotionOutcome) :
        SessionEvent

    /** The timer of [subject] has fired. */
    data class TimerFired(val subject: TimerSubject) : SessionEvent

    /** A peer asked for the log position of a primary. */
    data class PositionRequested(val number: PositionRequestNumber, val request: PositionRequest) : SessionEvent

    /** A peer reported the log position of a primary. */
    data class PositionReported(val peer: Endpoint, val report: PositionReport) : SessionEvent

    /** The host's settings for tenants have changed. */
    data class TenantSettingsChanged(val settings: TenantSettings) : SessionEvent

    /** The process was asked to stop. */
    data object StopRequested : SessionEvent
}

/** An event with the time at which it is handled. */
data class TimedSessionEvent(val now: MonotonicTime, val event: SessionEvent)

/** Outcome of a conditional write to the store. */
sealed interface WriteOutcome {
    /** The write took effect; the record has [revision] now. */
    data class Written(val revision: Revision) : WriteOutcome

    /** The record had another revision than expected; nothing was written. */
    data object Conflict : WriteOutcome

    /** No answer; the write may take effect later. */
    data object Unknown : WriteOutcome
}

/** Outcome of a request to a peer. */
sealed interface PeerOutcome {
    /** The outcome as it stands in log lines. */
    val description: String
        get() = when (this) {
            is Answered -> "answered"
            Refused -> "refused"
            Silent -> "silent"
        }

    /** The peer answered. */
    data class Answered(val answer: PeerAnswer) : PeerOutcome

    /** The connection was refused. A cut between hosts can look the same, so the peer may still run. */
    data object Refused : PeerOutcome

    /** No answer in time. */
    data object Silent : PeerOutcome
}

/** Outcome of a promotion request. */
enum class PromotionOutcome { ACCEPTED, REJECTED, UNKNOWN }

/** A command to one server outside of any session. */
sealed interface ControlRequest {
    /** Asks for the status. */
    data object Status : ControlRequest

    /** Demotes the server to a replica if it is the primary of a term below [term]. */
    data class StepDown(val term: Long) : ControlRequest

    /** Stops a replica from receiving the log until it is promoted or resumed. */
    data class Pause(val term: Long) : ControlRequest

    /** Lets a paused replica receive the log again. */
    data object Resume : ControlRequest
}
