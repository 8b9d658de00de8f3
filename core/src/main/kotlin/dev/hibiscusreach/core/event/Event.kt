package dev.hibiscusreach.core.event

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** An event with the time at which it is handled and a random number for randomized decisions. */
data class TimedEvent(val at: MonotonicTime, val wallClockMillis: Long, val random: Long, val event: Event)

/** Input of the reducer: external events, and [Signal]s between the reducer's parts. */
sealed interface Event {
    /** The first event of every process. */
    data object Started : Event

    /** A timer that was started with [Effect.StartTimer] has expired. */
    data class TimerFired(val key: TimerKey) : Event

    /** A caller's request arrived at this process. */
    data class RequestArrived(val arrival: ArrivalNumber, val request: CallerRequest) : Event

    /** The caller closed its connection before the answer was sent. */
    data class CallerDisconnected(val arrival: ArrivalNumber) : Event

    /** A session connection is ready. */
    data class ConnectionOpened(val connection: ConnectionNumber) : Event

    /** A session connection could not be opened. */
    data class ConnectionOpenFailed(val connection: ConnectionNumber, val failure: ConnectionFailure) : Event

    /** A session connection that was open is closed or broken. */
    data class ConnectionClosed(val connection: ConnectionNumber) : Event

    /** A server answered the command of [attempt]. */
    data class SessionAnswered(
        val connection: ConnectionNumber,
        val attempt: AttemptNumber,
        val answer: SessionAnswer,
    ) : Event

    /** A server's control endpoint answered. */
    data class ControlAnswered(
        val call: ControlCallNumber,
        val server: ServerName,
        val answer: ControlAnswer,
    ) : Event

    /** A call to a server's control endpoint failed. */
    data class ControlFailed(
        val call: ControlCallNumber,
        val server: ServerName,
        val failure: ConnectionFailure,
    ) : Event

    /** A peer sent a message. */
    data class PeerMessageReceived(val from: NodeIdentity, val message: PeerMessage) : Event

    /** A message to a peer could not be delivered, or the link to the peer broke. */
    data class PeerUnreachable(val peer: NodeIdentity) : Event

    /** A process at a seed address sent its identity when the link to it was opened. */
    data class PeerIntroduced(val update: PeerUpdate) : Event

    /** The platform answered a call. */
    data class PlatformAnswered(val call: PlatformCallNumber, val answer: PlatformAnswer) : Event

    /** The process was asked to shut down gracefully. */
    data object DrainRequested : Event
}

/** Why a connection or call failed. */
enum class ConnectionFailure {
    /** The connection was refused, so the command did not run. */
    REFUSED,

    /** The server is at its connection limit. */
    LIMIT_REACHED,

    /** The answer did not arrive in time. The command may have run. */
    TIMED_OUT,

    /** The connection broke. The command may have run. */
    BROKEN,
}

/** Identifies a timer; starting a timer replaces a running one with the same key. */
sealed interface TimerKey {
    /** Fires once per period of the membership protocol. */
    data object MembershipPeriod : TimerKey

    /** Ends the wait for an acknowledgement of the ping with [sequence]. */
    data class PingTimeout(val sequence: Long) : TimerKey

    /** Ends the suspicion of [node]. */
    data class SuspicionTimeout(val node: NodeIdentity) : TimerKey

    /** Triggers the periodic read of the platform's host list. */
    data object HostListPeriod : TimerKey

    /** Ends the delay before a platform watch is retried. */
    data object WatchRetry : TimerKey

    /** Triggers the periodic retries and anti-entropy of the configuration. */
    data object ConfigurationPeriod : TimerKey

    /** Triggers the periodic probes of the database groups. */
    data object ProbePeriod : TimerKey

    /** Triggers the next step of the failover of [database]. */
    data class FailoverStep(val database: DatabaseName) : TimerKey

    /** Ends the wait for the durability of the write of [attempt]. */
    data class DurabilityTimeout(val attempt: AttemptNumber) : TimerKey

    /** Ends the wait for the leadership check of [attempt]. */
    data class LeadershipTimeout(val attempt: AttemptNumber) : TimerKey

    /** Triggers periodic pool maintenance: idle probes, queue timeouts, leases. */
    data object PoolPeriod : TimerKey

    /** Ends the wait of [connection] for an answer. */
    data class ConnectionTimeout(val connection: ConnectionNumber) : TimerKey

    /** Deadline of the request of [arrival]. */
    data class RequestDeadline(val arrival: ArrivalNumber) : TimerKey

    /** Ends a step of the request of [arrival], such as the wait for a fresh replica or the delay before a retry. */
    data class RequestStep(val arrival: ArrivalNumber) : TimerKey

    /** Ends the idle time or the lifetime of an interactive transaction. */
    data class TransactionTimeout(val transaction: String) : TimerKey

    /** Triggers the next step of a graceful shutdown. */
    data object DrainStep : TimerKey
}

/** An event from one part of the reducer to the others. */
sealed interface Signal : Event {
    /** The set of live peers, or the condition of one of them, changed. */
    data object MembershipChanged : Signal

    /** [node] left or failed, was replaced at its address, or returned after it had been declared gone. */
    data class PeerGone(val node: NodeIdentity) : Signal

    /** A higher generation of the configuration is in force. */
    data class ConfigurationChanged(val generation: Long) : Signal

    /** The platform's host list marks [servers] as leaving. */
    data class LeavingServersListed(val servers: Set<ServerName>) : Signal

    /** This process was paused: a timer was overdue by [pausedMillis]. */
    data class PauseDetected(val pausedMillis: Long) : Signal

    /** A server gave its status in an answer to something sent at [sentAt]. */
    data class ServerObserved(val status: ServerStatus, val sentAt: MonotonicTime) : Signal

    /** A session connection to a server failed. */
    data class ServerFailed(val server: ServerName, val failure: ConnectionFailure) : Signal

    /** A primary was promoted in a new term, or the primary became unknown. */
    data class PrimaryChanged(val database: DatabaseName, val term: Term, val primary: ServerName?) : Signal

    /** The health or positions of a database's servers changed in a way that may unblock a waiting read. */
    data class GroupStatusChanged(val database: DatabaseName) : Signal

    /** Asks the groups part to report when a majority has stored [position] in its term. */
    data class DurabilityRequested(
        val attempt: AttemptNumber,
        val database: DatabaseName,
        val position: Position,
        val waitUntil: MonotonicTime,
    ) : Signal

    /** A majority has stored the position that [attempt] waits for. */
    data class DurabilityReached(val attempt: AttemptNumber) : Signal

    /** The term changed or the wait timed out before a majority was known to have stored the position. */
    data class DurabilityNotReached(val attempt: AttemptNumber) : Signal

    /** Asks the groups part to verify that no higher term exists, with messages sent after [since]. */
    data class LeadershipCheckRequested(
        val attempt: AttemptNumber,
        val database: DatabaseName,
        val since: MonotonicTime,
        val waitUntil: MonotonicTime,
    ) : Signal

    /** A majority answered in the current term to messages sent after the requested time. */
    data class LeadershipConfirmed(val attempt: AttemptNumber) : Signal

    /** The term changed or the wait timed out before leadership was confirmed. */
    data class LeadershipNotConfirmed(val attempt: AttemptNumber) : Signal

    /** Asks the pools part for a connection to [server] on behalf of [caller]. */
    data class ConnectionRequested(
        val attempt: AttemptNumber,
        val server: ServerName,
        val caller: CallerName,
        val waitUntil: MonotonicTime,
    ) : Signal

    /** Cancels a [ConnectionRequested]. */
    data class ConnectionRequestCancelled(val attempt: AttemptNumber) : Signal

    /** [connection] is reserved for [attempt] until it is returned. */
    data class ConnectionGranted(val attempt: AttemptNumber, val connection: ConnectionNumber) : Signal

    /** No connection is available for [attempt]. Nothing was sent. */
    data class ConnectionDenied(val attempt: AttemptNumber, val kind: ErrorKind) : Signal

    /** A granted connection is returned to its pool. */
    data class ConnectionReturned(val connection: ConnectionNumber, val condition: ConnectionCondition) : Signal

    /** A granted connection broke or timed out; its holder must neither use nor return it. */
    data class ConnectionLost(val connection: ConnectionNumber, val failure: ConnectionFailure) : Signal

    /** The graceful shutdown reached a new phase. */
    data class DrainPhaseChanged(val phase: DrainPhase) : Signal
}

/** Whether a returned connection can be reused without a reset. */
enum class ConnectionCondition {
    /** Every command was answered and no transaction is open. */
    CLEAN,

    /** A transaction may be open, or an answer is outstanding. */
    DOUBTFUL,
}

/** Phases of a graceful shutdown. */
enum class DrainPhase {
    /** Normal operation. */
    SERVING,

    /** Reported as not ready to the load balancer; still accepts arriving requests. */
    LEAVING,

    /** Accepts no new requests; completes those in flight. */
    FINISHING,

    /** Nothing is in flight; the process may exit. */
    FINISHED,
}
