package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** What a request waits for. */
sealed interface RequestPhase {
    /** The request is not routed yet or has to be routed again. */
    data object Arrived : RequestPhase

    /** No replica is known to be fresh enough. The request is routed to the primary when the wait ends. */
    data object AwaitingReplica : RequestPhase

    /** The primary is unknown or is [rejected], which did not serve the request. Retries end at [until]. */
    data class AwaitingPrimary(
        val until: MonotonicTime,
        val rejected: PrimaryView?,
        /** Whether the request is sent to the same primary again after a pause. */
        val retriesSamePrimary: Boolean,
    ) : RequestPhase

    /** A phase of one attempt on one server. */
    sealed interface Attempted : RequestPhase {
        /** Number that answers are matched by. */
        val attempt: AttemptNumber

        /** The server of the attempt. */
        val server: ServerName
    }

    /** A connection was requested. No command was sent. */
    data class Connecting(override val attempt: AttemptNumber, override val server: ServerName) : Attempted

    /** A command was sent and is not answered yet. */
    data class Sent(
        override val attempt: AttemptNumber,
        override val server: ServerName,
        val connection: ConnectionNumber,
        val term: Term,
        val sentAt: MonotonicTime,
    ) : Attempted

    /** The server answered; the answer is delivered once the outstanding checks succeed. */
    data class Verifying(
        override val attempt: AttemptNumber,
        override val server: ServerName,
        val answer: SessionAnswer,
        val sentAt: MonotonicTime,
        val durable: Boolean = false,
        val leadershipConfirmed: Boolean = false,
    ) : Attempted

    /** The request was forwarded to [peer] under [number]. */
    data class Forwarded(val number: ArrivalNumber, val peer: NodeIdentity) : RequestPhase
}

/** The primary of a term, as this process knew it at one time. */
data class PrimaryView(val term: Term, val server: ServerName)
