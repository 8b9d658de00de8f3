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

/** An event with the time at which it is handled and a random number for decisions that need one. */
data class TimedEvent(val at: MonotonicTime, val wallClockMillis: Long, val random: Long, val event: Event)

/** Anything that the reducer reacts to: inputs from outside, and [Signal]s between the reducer's parts. */
sealed interface Event {
    /** The first event of every process. */
    data object Started : Event

    /** A timer that was started with [Effect.StartTimer] has run out. */
    data class TimerFired(val key: TimerKey) : Event

    /** A caller's request arrived at this process. */
    data class RequestArrived(val arrival: ArrivalNumber, val request: CallerRequest) : Event

    /** The caller closed its connection before it got the answer. */
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

    /** A process at a seed address introduced itself when the link to it was opened. */
    data class PeerIntroduced(val update: PeerUpdate) : Event

    /** The platform answered a call. */
    data class PlatformAnswered(val call: PlatformCallNumber, val answer: PlatformAnswer) : Event

    /** The process was asked to shut down gracefully. */
    data object DrainRequested : Event
}

/** Why a connection or call failed. */
enum class ConnectionFailure {
    /** Nothing listens there. The command did not run. */
    REFUSED,

    /** The server is at its connection limit. */
    LIMIT_REACHED,

    /** No answer in time. The command may have run. */
    TIMED_OUT,

    /** The connection broke. The command may have run. */
    BROKEN,
}

/** Identifies a timer; starting a key again replaces its timer. */
sealed interface TimerKey {
    /** Drives the membership's protocol period. */
    data object MembershipPeriod : TimerKey

    /** Ends the wait for an acknowledgement of the ping with [sequence]. */
    data class PingTimeout(val sequence: Long) : TimerKey

    /** Ends the suspicion of [node]. */
    data class SuspicionTimeout(val node: NodeIdentity) : TimerKey

    /** Drives the reading of the platform's host list. */
    data object HostListPeriod : TimerKey

    /** Ends the pause before the next try of a platform watch. */
    data object WatchRetry : TimerKey

    /** Drives the retries and anti-entropy of the configuration. */
    data object ConfigurationPeriod : TimerKey

    /** Drives the probes of the database groups. */
    data object ProbePeriod : TimerKey

    /** Drives one step of the failover of [database]. */
    data class FailoverStep(val database: DatabaseName) : TimerKey

    /** Ends the wait for the durability of the write of [attempt]. */
    data class DurabilityTimeout(val attempt: AttemptNumber) : TimerKey

    /** Ends the wait for the leadership check of [attempt]. */
    data class LeadershipTimeout(val attempt: AttemptNumber) : TimerKey

    /** Drives pool maintenance: idle probes, queue time-outs, leases. */
    data object PoolPeriod : TimerKey

    /** Ends the wait of [connection] for an answer. */
    data class ConnectionTimeout(val connection: ConnectionNumber) : TimerKey

    /** Ends the time that the caller gave for the request of [arrival]. */
    data class RequestDeadline(val arrival: ArrivalNumber) : TimerKey

    /** Ends a step of the request of [arrival], such as the wait for a fresh replica or a pause before a retry. */
    data class RequestStep(val arrival: ArrivalNumber) : TimerKey

    /** Ends the idle time or the life of an interactive transaction. */
    data class TransactionTimeout(val transaction: String) : TimerKey

    /** Drives the steps of a graceful shutdown. */
    data object DrainStep : TimerKey
}

/** An event from one part of the reducer to the others. */
sealed interface Signal : Event {
    /** The set of live peers, or the condition of one of them, changed. */
    data object MembershipChanged : Signal

    /** [node] is gone, was replaced at its address, or came back after it had been taken for gone. */
    data class PeerGone(val node: NodeIdentity) : Signal

    /** A higher generation of the configuration is in force. */
    data class ConfigurationChanged(val generation: Long) : Signal

    /** The platform's list names backend servers that are leaving. */
    data class LeavingServersListed(val servers: Set<ServerName>) : Signal

    /** This process did not run for [pausedMillis] although a timer was due. */
    data class PauseDetected(val pausedMillis: Long) : Signal

    /** A server gave its status in an answer to something sent at [sentAt]. */
    data class ServerObserved(val status: ServerStatus, val sentAt: MonotonicTime) : Signal

    /** A session connection to a server failed. */
    data class ServerFailed(val server: ServerName, val failure: ConnectionFailure) : Signal

    /** A new term has a primary, or the primary became unknown. */
    data class PrimaryChanged(val database: DatabaseName, val term: Term, val primary: ServerName?) : Signal

    /** The health or positions of a database's servers changed in a way that may let a waiting read go on. */
    data class GroupStatusChanged(val database: DatabaseName) : Signal

    /** Asks the groups part for an answer once a majority holds [position] in its term. */
    data class DurabilityRequested(
        val attempt: AttemptNumber,
        val database: DatabaseName,
        val position: Position,
        val waitUntil: MonotonicTime,
    ) : Signal

    /** A majority holds the position that [attempt] asked for. */
    data class DurabilityReached(val attempt: AttemptNumber) : Signal

    /** The term changed or the wait ran out before a majority was known to hold the position. */
    data class DurabilityNotReached(val attempt: AttemptNumber) : Signal

    /** Asks the groups part for a check that no higher term exists, sent after [since]. */
    data class LeadershipCheckRequested(
        val attempt: AttemptNumber,
        val database: DatabaseName,
        val since: MonotonicTime,
        val waitUntil: MonotonicTime,
    ) : Signal

    /** A majority answered in the current term to something sent after the wanted time. */
    data class LeadershipConfirmed(val attempt: AttemptNumber) : Signal

    /** The term changed or the wait ran out before leadership was confirmed. */
    data class LeadershipNotConfirmed(val attempt: AttemptNumber) : Signal

    /** Asks the pools part for a connection to [server] on behalf of [caller]. */
    data class ConnectionRequested(
        val attempt: AttemptNumber,
        val server: ServerName,
        val caller: CallerName,
        val waitUntil: MonotonicTime,
    ) : Signal

    /** Takes a [ConnectionRequested] back. */
    data class ConnectionRequestCancelled(val attempt: AttemptNumber) : Signal

    /** [connection] belongs to [attempt] until it is returned. */
    data class ConnectionGranted(val attempt: AttemptNumber, val connection: ConnectionNumber) : Signal

    /** No connection can be had for [attempt]. Nothing was sent. */
    data class ConnectionDenied(val attempt: AttemptNumber, val kind: ErrorKind) : Signal

    /** A granted connection comes back to its pool. */
    data class ConnectionReturned(val connection: ConnectionNumber, val condition: ConnectionCondition) : Signal

    /** A granted connection broke or timed out; it must not be used or returned any more. */
    data class ConnectionLost(val connection: ConnectionNumber, val failure: ConnectionFailure) : Signal

    /** The graceful shutdown reached a new phase. */
    data class DrainPhaseChanged(val phase: DrainPhase) : Signal
}

/** The state in which a connection is returned. */
enum class ConnectionCondition {
    /** Every command was answered and no transaction is open. */
    CLEAN,

    /** A transaction may be open, or an answer is outstanding. */
    DOUBTFUL,
}

/** Phases of a graceful shutdown. */
enum class DrainPhase {
    /** Normal work. */
    SERVING,

    /** Not ready for the balancer any more; still takes what arrives. */
    LEAVING,

    /** Takes no new work; finishes what is in flight. */
    FINISHING,

    /** Nothing is left; the process may exit. */
    FINISHED,
}
